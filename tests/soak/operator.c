#include <jansson.h>
#include <string.h>

#include "soak.h"

/* Pause before a write that the table has refused is tried again.  */
#define RETRY_PAUSE_MS 100
/* A process that starts so long before a drill may know only the copy.  */
#define START_TIME (2 * CS_SEC)

/* A transaction.  */
typedef struct
{
  char *body;
  int64_t config_version; /* 0: it writes no configuration.  */
  bool by_another;        /* User of the table, who doesn't write it again.  */
  int64_t revision;       /* Of its acknowledgement.  */
} write_t;

struct operator
{
  soak_t *soak;
  GQueue waiting;            /* write_t *: not acknowledged, in order.  */
  GPtrArray *written;        /* write_t *: in the table, in order.  */
  cs_http1_client_t *client; /* Of the call that is under way, or NULL.  */
  uv_timer_t timer;          /* Until the next one.  */
  bool paused;
  unsigned drill_away_ms,
      drill_back_ms; /* The second is 0: no drill is due. */
  uint64_t rewrite_delay_ms;
  /* When a drill has taken a configuration that isn't written again yet; 0:
     none.  */
  cs_usec_t config_lost_at;
  int64_t lost_config_version;      /* The newest of them.  */
  cs_usec_t config_acknowledged_at; /* The newest one.  */
};

static void send_next (operator_t *operator);

static void
free_write (void *data)
{
  write_t *write = data;
  g_free (write->body);
  g_free (write);
}

static void
on_pause_over (uv_timer_t *timer)
{
  operator_t *operator= timer->data;
  operator->paused = false;
  send_next (operator);
}

static void
pause_writes (operator_t *operator, uint64_t ms)
{
  operator->paused = true;
  uv_timer_start (&operator->timer, on_pause_over, ms, 0);
}

/* Whether a process may have started with only the copy that the table came
   back from.  */
static bool
some_know_only_the_copy (const operator_t *operator)
{
  return operator->config_lost_at && operator->soak->last_start_at >=
  operator->config_lost_at - START_TIME;
}

bool
operator_key_may_be_valid (const operator_t *operator)
{
  return some_know_only_the_copy (operator);
}

/* VERSION of the configuration is in the table: the key of the version before
   the last one has been taken away.  */
static void
note_config (operator_t *operator, int64_t version)
{
  soak_t *soak = operator->soak;
  cs_usec_t now = soak_now (soak);
  bool again = some_know_only_the_copy (operator);
  for (int64_t v = 1; v <= version - 2 && v < VERSIONS_MAX; v++)
    if (!soak->key_removed_at[v]
        || (again
            && soak->key_removed_at[v]
                   > operator->config_lost_at - REVOKE_BOUND))
      soak->key_removed_at[v] = now;
  if (version >= operator->lost_config_version)
    operator->config_lost_at = 0;
  if (version == soak->config_version)
    operator->config_acknowledged_at = now;
}

/* Take the writes after REVISION, which the table has lost, back from those
   that are written.  */
static void
note_drill (operator_t *operator, int64_t revision)
{
  GPtrArray *written = operator->written;
  while (written->len)
    {
      write_t *last = written->pdata[written->len - 1];
      if (last->revision <= revision)
        break;
      if (last->config_version)
        {
          operator->config_lost_at = soak_now (operator->soak);
          operator->lost_config_version = MAX (operator->lost_config_version,
                                               last->config_version);
        }
      g_queue_push_head (&operator->waiting,
                         g_ptr_array_steal_index (written, written->len - 1));
    }
  printf ("# drill: back to revision %lld, %u writes to come\n",
          (long long)revision, operator->waiting.length);
  pause_writes (operator, operator->drill_away_ms +
                          operator->rewrite_delay_ms);
  operator->drill_back_ms = 0;
}

static void
on_answer (void *user, cs_http1_message_t *answer)
{
  operator_t *operator= user;
  json_t *body = json_loadb (answer->body->str, answer->body->len, 0, NULL);
  int64_t revision = json_integer_value (json_object_get (body, "ver"));
  bool is_drill = json_object_get (body, "drill") != NULL;
  cs_http1_client_drop (operator->client);
  operator->client = NULL;
  json_decref (body);
  if (is_drill)
    note_drill (operator, revision);
  else if (answer->parser.status_code == 200)
    {
      write_t *write = g_queue_pop_head (&operator->waiting);
      write->revision = revision;
      if (write->config_version)
        note_config (operator, write->config_version);
      if (write->by_another)
        free_write (write);
      else
        g_ptr_array_add (operator->written, write);
    }
  else
    pause_writes (operator, RETRY_PAUSE_MS);
  send_next (operator);
}

static void
on_failed (void *user, cs_http1_client_error_t error, bool partial)
{
  operator_t *operator= user;
  (void)error, (void)partial;
  soak_record_violation (operator->soak, "SOAK",
                         "the table's stand-in does not answer");
}

/* Send the next call, if one is due and none is under way.  */
static void
send_next (operator_t *operator)
{
  static const cs_http1_client_handler_t handler
      = { .answer_received = on_answer, .failed = on_failed };
  soak_t *soak = operator->soak;
  struct sockaddr_in address;
  const write_t *write = g_queue_peek_head (&operator->waiting);
  if (operator->client || operator->paused || (!write
                                               && !operator->drill_back_ms))
    return;
  GString *request = g_string_new (NULL);
  if (operator->drill_back_ms)
    g_string_append_printf (request,
                            "GET /standin/drill?back_ms=%u&away_ms=%u "
                            "HTTP/1.1\r\nHost: h\r\n\r\n",
                            operator->drill_back_ms, operator->drill_away_ms);
  else
    g_string_append_printf (request,
                            "POST /api/rows-tx HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: %zu\r\n\r\n%s",
                            strlen (write->body), write->body);
  uv_ip4_addr ("127.0.0.1", (int)soak->base_port, &address);
  operator->client = cs_http1_client_new (&soak->loop, soak->ctx->clock,
                                          &address, 2 * CS_SEC);
  cs_http1_client_send (operator->client, request, false, &handler, operator);
}

operator_t *
operator_new (soak_t *soak)
{
  operator_t *operator= g_new0 (operator_t, 1);
  operator->soak = soak;
  operator->written = g_ptr_array_new_with_free_func (free_write);
  operator->timer.data = operator;
  uv_timer_init (&soak->loop, &operator->timer);
  return operator;
}

void
operator_write (operator_t *operator, const char * body,
                int64_t config_version)
{
  write_t *write = g_new0 (write_t, 1);
  *write
      = (write_t){ .body = g_strdup (body), .config_version = config_version };
  g_queue_push_tail (&operator->waiting, write);
  send_next (operator);
}

void
operator_write_for_another (operator_t *operator)
{
  write_t *write = g_new0 (write_t, 1);
  *write = (write_t){ .body = g_strdup ("{\"puts\":[{\"table\":\"else\","
                                        "\"part\":\"\",\"key\":\"k\","
                                        "\"value\":\"e30=\"}]}"),
                      .by_another = true };
  g_queue_push_tail (&operator->waiting, write);
  send_next (operator);
}

void
operator_drill (operator_t *operator, unsigned back_ms, unsigned away_ms,
                unsigned rewrite_delay_ms)
{
  operator->drill_back_ms = back_ms;
  operator->drill_away_ms = away_ms;
  operator->rewrite_delay_ms = rewrite_delay_ms;
  /* Also while lost writes wait to be written again.  */
  uv_timer_stop (&operator->timer);
  operator->paused = false;
  send_next (operator);
}

cs_usec_t
operator_config_time (const operator_t *operator)
{
  return operator->waiting.length || operator->drill_back_ms
             ? 0
             :
             operator->config_acknowledged_at;
}
