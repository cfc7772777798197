/* Tests the event-driven HTTP client against every way in which an answer can
   end, with answers to its request and to others.  */
#include <netinet/tcp.h>

#include "answer-cases.h"
#include "cardamom/client.h"
#include "cardamom/clock.h"
#include "sockets.h"

#define OWN "HTTP/1.1 200 OK\r\nId: own\r\n"
#define OTHER "HTTP/1.1 200 OK\r\nId: other\r\n"
#define OTHER_REFUSAL "HTTP/1.1 503 Busy\r\nId: other\r\n"
#define LENGTH "Content-Length: 4\r\n\r\nbody"
#define CHUNKS "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
#define LENGTH_CUT "Content-Length: 9\r\n\r\nbody"
#define CHUNKS_CUT "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
#define EARLY "HTTP/1.1 413 Too Large\r\nId: own\r\n"
#define NO_LENGTH "\r\nbody"

/* What the server does with the connection after its bytes.  */
typedef enum
{
  STAYS_OPEN,
  CLOSES,
  RESETS,
  RESETS_AT_ONCE, /* Before the client has read any of them.  */
  CLOSES_AT_ONCE,
  ENDS_ITS_SIDE,   /* Reads nothing more, and the connection stays.  */
  READS_AND_CLOSES /* Once it has read the whole request.  */
} end_t;

/* More than the buffers of two sockets take.  */
#define UPLOAD_BYTES (16 << 20)

static const struct
{
  const char *name, *bytes;
  end_t end;
  const char *expected; /* As in events_t.  */
  bool is_head;
  size_t upload; /* Bytes of the request's body, which the server leaves.  */
} cases[] = {
  { "length", OWN LENGTH, STAYS_OPEN, "200 body;" },
  { "chunks", OWN CHUNKS, STAYS_OPEN, "200 body;" },
  { "close", OWN NO_LENGTH, CLOSES, "200 body;" },
  { "interim", "HTTP/1.1 103 Early\r\n\r\n" OWN LENGTH, STAYS_OPEN,
    "200 body;" },
  { "reset", OWN NO_LENGTH, RESETS, "connection broken, partial;" },
  { "length-cut", OWN "Content-Length: 9\r\n\r\nbody", CLOSES,
    "answer truncated, partial;" },
  { "chunks-cut", OWN "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
    CLOSES, "answer truncated, partial;" },
  { "head-cut", OWN, CLOSES, "answer truncated, partial;" },
  { "nothing", "", CLOSES, "answer truncated;" },
  { "other-length", OTHER LENGTH OWN LENGTH, STAYS_OPEN, "200 body;" },
  { "other-chunks", OTHER CHUNKS OWN CHUNKS, STAYS_OPEN, "200 body;" },
  { "other-then-close", OTHER LENGTH OWN NO_LENGTH, CLOSES, "200 body;" },
  { "other-empty", "HTTP/1.1 204 Gone\r\nId: other\r\n\r\n" OWN LENGTH,
    STAYS_OPEN, "200 body;" },
  { "other-not-modified", "HTTP/1.1 304 Old\r\nId: other\r\n\r\n" OWN LENGTH,
    STAYS_OPEN, "200 body;" },
  { "other-alone", OTHER LENGTH, CLOSES, "answer truncated;" },
  { "other-length-cut", OTHER "Content-Length: 9\r\n\r\nbody", CLOSES,
    "answer truncated;" },
  { "other-chunks-cut", OTHER "Transfer-Encoding: chunked\r\n\r\n9\r\nbody",
    CLOSES, "answer truncated;" },
  { "other-length-reset", OTHER "Content-Length: 9\r\n\r\nbody", RESETS,
    "connection broken;" },
  { "other-close", OTHER NO_LENGTH, CLOSES,
    "precluded;answer to another request;" },
  { "other-close-empty", OTHER "\r\n", CLOSES,
    "precluded;answer to another request;" },
  { "other-close-open", OTHER NO_LENGTH, STAYS_OPEN, "precluded;" },
  { "other-close-reset", OTHER NO_LENGTH, RESETS,
    "precluded;connection broken;" },
  { "other-close-own-inside", OTHER NO_LENGTH OWN LENGTH, CLOSES,
    "precluded;answer to another request;" },
  { "other-refusal", OTHER_REFUSAL LENGTH OWN LENGTH, STAYS_OPEN,
    "200 body;" },
  { "other-refusal-close", OTHER_REFUSAL NO_LENGTH, CLOSES,
    "precluded;answer to another request;" },
  { "interim-other-close", "HTTP/1.1 103 Early\r\n\r\n" OTHER NO_LENGTH,
    CLOSES, "precluded;answer to another request;" },
  { "other-length-other-close", OTHER LENGTH OTHER NO_LENGTH, CLOSES,
    "precluded;answer to another request;" },
  { "head", OWN "Content-Length: 4\r\n\r\n", STAYS_OPEN, "200 ;", true },
  { "head-other-length", OTHER "Content-Length: 26\r\n\r\n" OWN "\r\n",
    STAYS_OPEN, "answer to another request;", true },
  { "head-other-close", OTHER "\r\n" OWN "\r\n", CLOSES,
    "answer to another request;", true },
  /* An end of the input that is none of the answer.  */
  { "reset-at-once", OWN NO_LENGTH, RESETS_AT_ONCE,
    "connection broken, partial;" },
  { "reset-at-once-length", OWN LENGTH, RESETS_AT_ONCE, "200 body;" },
  { "reset-at-once-chunks", OWN CHUNKS, RESETS_AT_ONCE, "200 body;" },
  { "close-at-once", OWN NO_LENGTH, CLOSES_AT_ONCE, "200 body;" },
  { "upload-reset", OWN NO_LENGTH, RESETS_AT_ONCE,
    "connection broken, partial;", false, UPLOAD_BYTES },
  { "upload-close", OWN NO_LENGTH, CLOSES, "connection broken, partial;",
    false, UPLOAD_BYTES },
  { "upload-close-at-once", OWN NO_LENGTH, CLOSES_AT_ONCE,
    "connection broken, partial;", false, UPLOAD_BYTES },
  { "upload-end", OWN NO_LENGTH, ENDS_ITS_SIDE, "answer truncated, partial;",
    false, UPLOAD_BYTES },
  { "upload-read", OWN NO_LENGTH, READS_AND_CLOSES, "200 body;", false,
    UPLOAD_BYTES },
  { "upload-early-refusal", EARLY LENGTH, STAYS_OPEN, "413 body;", false,
    UPLOAD_BYTES },
  { "upload-early-refusal-reset", EARLY LENGTH, RESETS_AT_ONCE, "413 body;",
    false, UPLOAD_BYTES },
  { "upload-early-refusal-close", EARLY LENGTH, CLOSES_AT_ONCE, "413 body;",
    false, UPLOAD_BYTES },
  { "upload-early-refusal-end", EARLY LENGTH, ENDS_ITS_SIDE, "413 body;",
    false, UPLOAD_BYTES },
  { "upload-early-refusal-read", EARLY LENGTH, READS_AND_CLOSES, "413 body;",
    false, UPLOAD_BYTES },
  { "upload-early-refusal-chunks", EARLY CHUNKS, STAYS_OPEN, "413 body;",
    false, UPLOAD_BYTES },
  { "upload-early-refusal-chunks-reset", EARLY CHUNKS, RESETS_AT_ONCE,
    "413 body;", false, UPLOAD_BYTES },
  { "upload-early-refusal-chunks-close", EARLY CHUNKS, CLOSES_AT_ONCE,
    "413 body;", false, UPLOAD_BYTES },
  { "upload-early-refusal-chunks-end", EARLY CHUNKS, ENDS_ITS_SIDE,
    "413 body;", false, UPLOAD_BYTES },
  { "upload-early-refusal-chunks-read", EARLY CHUNKS, READS_AND_CLOSES,
    "413 body;", false, UPLOAD_BYTES },
  { "upload-length-cut-reset", EARLY LENGTH_CUT, RESETS_AT_ONCE,
    "connection broken, partial;", false, UPLOAD_BYTES },
  { "upload-length-cut-close", EARLY LENGTH_CUT, CLOSES_AT_ONCE,
    "connection broken, partial;", false, UPLOAD_BYTES },
  { "upload-length-cut-end", EARLY LENGTH_CUT, ENDS_ITS_SIDE,
    "answer truncated, partial;", false, UPLOAD_BYTES },
  { "upload-length-cut-read", EARLY LENGTH_CUT, READS_AND_CLOSES,
    "answer truncated, partial;", false, UPLOAD_BYTES },
  { "upload-chunks-cut-reset", EARLY CHUNKS_CUT, RESETS_AT_ONCE,
    "connection broken, partial;", false, UPLOAD_BYTES },
  { "upload-chunks-cut-close", EARLY CHUNKS_CUT, CLOSES_AT_ONCE,
    "connection broken, partial;", false, UPLOAD_BYTES },
  { "upload-chunks-cut-end", EARLY CHUNKS_CUT, ENDS_ITS_SIDE,
    "answer truncated, partial;", false, UPLOAD_BYTES },
  { "upload-chunks-cut-read", EARLY CHUNKS_CUT, READS_AND_CLOSES,
    "answer truncated, partial;", false, UPLOAD_BYTES },
};

/* What the client reports, in order: "STATUS BODY;" for an answer, the text of
   the error with ", partial" for a failure, "precluded;".  */
typedef struct
{
  GString *text;
  bool ended; /* Answered or failed.  */
} events_t;

static void
on_answer (void *user, cs_http1_message_t *answer)
{
  events_t *events = user;
  g_string_append_printf (events->text, "%u %s;", answer->parser.status_code,
                          answer->body->str);
  events->ended = true;
}

static void
on_failed (void *user, cs_http1_client_error_t error, bool partial)
{
  events_t *events = user;
  g_string_append_printf (events->text, "%s%s;",
                          cs_http1_client_error_text (error),
                          partial ? ", partial" : "");
  events->ended = true;
}

static void
on_precluded (void *user)
{
  events_t *events = user;
  g_string_append (events->text, "precluded;");
}

static bool
answer_matches (void *user, const cs_http1_message_t *answer)
{
  (void)user;
  return cs_str_equal (cs_http1_message_field (answer, "id"), CS_STR ("own"));
}

static const cs_http1_client_handler_t handler
    = { .answer_received = on_answer,
        .failed = on_failed,
        .answer_matches = answer_matches,
        .answer_precluded = on_precluded };

static void
on_pump_end (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/* Run LOOP for MS milliseconds.  */
static void
pump (uv_loop_t *loop, unsigned ms)
{
  uv_timer_t timer;
  uv_timer_init (loop, &timer);
  uv_update_time (loop);
  uv_timer_start (&timer, on_pump_end, ms, 0);
  uv_run (loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (loop, UV_RUN_NOWAIT);
}

/* Send BYTES, PIECE of them at a time, until the client closes.  */
static void
send_pieces (uv_loop_t *loop, int fd, const char *bytes, size_t left,
             size_t piece)
{
  int no_delay = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
  while (left > 0)
    {
      ssize_t n = send (fd, bytes, MIN (piece, left), MSG_NOSIGNAL);
      if (n <= 0)
        return;
      bytes += n;
      left -= (size_t)n;
      uv_run (loop, UV_RUN_NOWAIT);
    }
}

/* A client of LOOP that has sent a request with a body of UPLOAD bytes, of
   which the server has read the head; *SERVER is its server's connection at
   LISTENER.  */
static cs_http1_client_t *
send_request (uv_loop_t *loop, int listener, unsigned port, bool is_head,
              size_t upload, cs_answer_memory_t *memory, events_t *events,
              int *server)
{
  GString *head = g_string_new ("POST / HTTP/1.1\r\nHost: h\r\n");
  GBytes *body = g_bytes_new_take (g_malloc0 (upload), upload);
  g_string_append_printf (head, "content-length: %zu\r\n\r\n", upload);
  struct sockaddr_in address = loopback_address (port);
  cs_http1_client_t *client
      = cs_http1_client_new (loop, cs_clock_system (), &address, 5 * CS_SEC);
  if (memory)
    cs_http1_client_share_memory (client, memory);
  cs_http1_client_send_body (client, head, upload ? body : NULL, is_head,
                             &handler, events);
  g_bytes_unref (body);
  *server = accept_one (listener);
  while (!readable (*server, 0))
    uv_run (loop, UV_RUN_ONCE);
  g_free (receive_message (*server));
  return client;
}

/* Read up to MAX bytes that LOOP's client sends to SERVER, for as long as it
   sends any; returns them.  */
static GString *
read_upload (uv_loop_t *loop, int server, size_t max)
{
  GString *got = g_string_new (NULL);
  while (got->len < max)
    {
      for (int ms = 0; !readable (server, 0) && ms < SOCKET_TIMEOUT_MS; ms++)
        pump (loop, 1);
      if (!receive_some (server, got))
        break;
    }
  return got;
}

static void
end_connection (int server, end_t end)
{
  if (end == RESETS || end == RESETS_AT_ONCE)
    reset_connection (server);
  else if (end == CLOSES || end == CLOSES_AT_ONCE || end == READS_AND_CLOSES)
    close (server);
  else if (end == ENDS_ITS_SIDE)
    shutdown (server, SHUT_WR);
}

/* Send a request, answer it as cases[INDEX] says, PIECE bytes at a time, and
   compare what the client reports.  */
static void
play_case (size_t index, size_t piece)
{
  uv_loop_t loop;
  unsigned port;
  events_t events = { .text = g_string_new (NULL) };
  int listener = listen_on_free_port (&port);
  int server;
  uv_loop_init (&loop);
  cs_http1_client_t *client
      = send_request (&loop, listener, port, cases[index].is_head,
                      cases[index].upload, NULL, &events, &server);
  if (cases[index].end == RESETS_AT_ONCE || cases[index].end == CLOSES_AT_ONCE)
    send_text (server, cases[index].bytes);
  else
    {
      send_pieces (&loop, server, cases[index].bytes,
                   strlen (cases[index].bytes), piece);
      pump (&loop, 20);
    }
  if (cases[index].end == READS_AND_CLOSES)
    g_string_free (read_upload (&loop, server, cases[index].upload), TRUE);
  end_connection (server, cases[index].end);
  for (int ms = 0; cases[index].end != STAYS_OPEN && !events.ended
                   && ms < SOCKET_TIMEOUT_MS;
       ms += 5)
    pump (&loop, 5);
  g_assert_cmpstr (events.text->str, ==, cases[index].expected);
  cs_http1_client_drop (client);
  uv_run (&loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&loop), ==, 0);
  if (cases[index].end == STAYS_OPEN || cases[index].end == ENDS_ITS_SIDE)
    close (server);
  close (listener);
  g_string_free (events.text, TRUE);
}

static void
test_case (gconstpointer data)
{
  size_t index = GPOINTER_TO_SIZE (data);
  play_case (index, strlen (cases[index].bytes) + 1);
  play_case (index, 1);
}

/* Of a malformed answer is known that it is one, without what follows.  */
static void
play_answer_case (size_t index, size_t piece)
{
  uv_loop_t loop;
  unsigned port;
  events_t events = { .text = g_string_new (NULL) };
  int listener = listen_on_free_port (&port), server;
  uv_loop_init (&loop);
  cs_http1_client_t *client
      = send_request (&loop, listener, port, answer_cases[index].is_head, 0,
                      NULL, &events, &server);
  send_pieces (&loop, server, answer_cases[index].text,
               answer_cases[index].len, piece);
  pump (&loop, 20);
  char *expected = answer_cases[index].expected
                       ? g_strconcat (answer_cases[index].expected, ";", NULL)
                       : g_strdup ("answer malformed");
  g_test_message ("%s, %zu at a time: %s", answer_cases[index].name, piece,
                  events.text->str);
  g_assert_true (g_str_has_prefix (events.text->str, expected));
  cs_http1_client_drop (client);
  uv_run (&loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&loop), ==, 0);
  close (server);
  close (listener);
  g_free (expected);
  g_string_free (events.text, TRUE);
}

static void
test_answer_case (gconstpointer data)
{
  size_t index = GPOINTER_TO_SIZE (data);
  play_answer_case (index, answer_cases[index].len);
  play_answer_case (index, 1);
}

#define SHARED_BODY_BYTES 400000

static bool
count_call (void *user)
{
  ++*(int *)user;
  return false;
}

/* Two answers exceed the memory.  While a client is read, it makes nothing
   give way, which might end the very request that it is read for; both answers
   come whole, the larger one first.  */
static void
test_short_of_memory (void)
{
  uv_loop_t loop;
  unsigned port;
  int servers[2], calls = 0;
  size_t first_parts[2] = { 300000, 200000 };
  cs_http1_client_t *clients[2];
  events_t events[2]
      = { { .text = g_string_new (NULL) }, { .text = g_string_new (NULL) } };
  cs_memory_budget_t budget
      = { .limit = 480000, .make_room = count_call, .user = &calls };
  cs_claims_t claims = { .budget = &budget };
  cs_answer_memory_t memory
      = { .max_per_answer = 1 << 20, .max_total = 2 << 20, .claims = &claims };
  char *body = g_strnfill (SHARED_BODY_BYTES, 'b');
  char *head
      = g_strdup_printf (OWN "Content-Length: %d\r\n\r\n", SHARED_BODY_BYTES);
  char *expected = g_strdup_printf ("200 %s;", body);
  int listener = listen_on_free_port (&port);
  uv_loop_init (&loop);
  for (int i = 0; i < 2; i++)
    {
      clients[i] = send_request (&loop, listener, port, false, 0, &memory,
                                 &events[i], &servers[i]);
      send_pieces (&loop, servers[i], head, strlen (head), strlen (head));
      send_pieces (&loop, servers[i],
                   body + SHARED_BODY_BYTES - first_parts[i], first_parts[i],
                   first_parts[i]);
      pump (&loop, 20);
    }
  for (int i = 0; i < 2; i++)
    {
      send_pieces (&loop, servers[i], body + first_parts[i],
                   SHARED_BODY_BYTES - first_parts[i], SHARED_BODY_BYTES);
      for (int ms = 0; !events[i].ended && ms < SOCKET_TIMEOUT_MS; ms += 5)
        {
          cs_http1_client_resume (clients[0], false);
          cs_http1_client_resume (clients[1], false);
          pump (&loop, 5);
        }
      g_assert_cmpstr (events[i].text->str, ==, expected);
    }
  g_assert_cmpint (calls, ==, 0);
  g_assert_cmpint (budget.used, ==, 0);
  for (int i = 0; i < 2; i++)
    {
      cs_http1_client_drop (clients[i]);
      close (servers[i]);
      g_string_free (events[i].text, TRUE);
    }
  uv_run (&loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&loop), ==, 0);
  close (listener);
  g_free (body);
  g_free (head);
  g_free (expected);
}

#define BUFFERED_UPLOAD_BYTES 60000 /* Written at once.  */

/* A server answers before it has read a long body, keeps the connection and
   reads on later.  Guards against bytes of another request where the rest of
   that body is due: the connection is kept only once the body is written.  */
static void
test_kept_connection (gconstpointer data)
{
  size_t upload = GPOINTER_TO_SIZE (data);
  bool written = upload == BUFFERED_UPLOAD_BYTES;
  uv_loop_t loop;
  unsigned port;
  events_t events = { .text = g_string_new (NULL) };
  int listener = listen_on_free_port (&port), server;
  uv_loop_init (&loop);
  cs_http1_client_t *client = send_request (&loop, listener, port, false,
                                            upload, NULL, &events, &server);
  send_text (server, OWN LENGTH);
  for (int ms = 0; !events.ended && ms < SOCKET_TIMEOUT_MS; ms++)
    pump (&loop, 1);
  g_assert_cmpstr (events.text->str, ==, "200 body;");
  g_assert_cmpint (cs_http1_client_is_usable (client, 0), ==, written);
  if (written)
    cs_http1_client_send (client, g_string_new ("GET /next HTTP/1.1\r\n\r\n"),
                          false, &handler, &events);
  GString *got = read_upload (&loop, server, upload + 1);
  for (size_t i = 0; i < MIN (got->len, upload); i++)
    g_assert_cmpint (got->str[i], ==, 0);
  if (written)
    g_assert_cmpstr (got->str + upload, ==, "GET /next HTTP/1.1\r\n\r\n");
  else
    g_assert_cmpuint (got->len, <, upload);
  cs_http1_client_drop (client);
  uv_run (&loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&loop), ==, 0);
  close (server);
  close (listener);
  g_string_free (got, TRUE);
  g_string_free (events.text, TRUE);
}

#define HELD_BYTES 60000 /* Of an answer without a length, before a pause. */

/* An answer without a length waits for memory while its request is being
   written, and the server resets the connection: the write takes the error of
   the socket, and the next read is told of an end of file.  */
static void
test_write_takes_the_error (void)
{
  uv_loop_t loop;
  unsigned port;
  int server;
  events_t events = { .text = g_string_new (NULL) };
  cs_memory_budget_t budget = { .limit = 1000000, .used = 900000 };
  cs_claims_t claims = { .budget = &budget };
  cs_answer_memory_t memory
      = { .max_per_answer = 1 << 20, .max_total = 2 << 20, .claims = &claims };
  char *body = g_strnfill (HELD_BYTES, 'b');
  int listener = listen_on_free_port (&port);
  uv_loop_init (&loop);
  cs_http1_client_t *client = send_request (
      &loop, listener, port, false, UPLOAD_BYTES, &memory, &events, &server);
  send_text (server, OWN "\r\n");
  send_pieces (&loop, server, body, HELD_BYTES, HELD_BYTES);
  pump (&loop, 20);
  g_assert_cmpint (cs_http1_client_paused_since (client), >, 0);
  reset_connection (server);
  pump (&loop, 20);
  budget.used -= 900000;
  cs_http1_client_resume (client, false);
  for (int ms = 0; !events.ended && ms < SOCKET_TIMEOUT_MS; ms += 5)
    pump (&loop, 5);
  g_assert_cmpstr (events.text->str, ==, "connection broken, partial;");
  cs_http1_client_drop (client);
  uv_run (&loop, UV_RUN_DEFAULT);
  g_assert_cmpint (uv_loop_close (&loop), ==, 0);
  close (listener);
  g_string_free (events.text, TRUE);
  g_free (body);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *path = g_strconcat ("/client/", cases[i].name, NULL);
      g_test_add_data_func (path, GSIZE_TO_POINTER (i), test_case);
      g_free (path);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (answer_cases); i++)
    {
      char *path = g_strconcat ("/client/answer/", answer_cases[i].name, NULL);
      g_test_add_data_func (path, GSIZE_TO_POINTER (i), test_answer_case);
      g_free (path);
    }
  g_test_add_func ("/client/short-of-memory", test_short_of_memory);
  g_test_add_data_func ("/client/kept-connection",
                        GSIZE_TO_POINTER (BUFFERED_UPLOAD_BYTES),
                        test_kept_connection);
  g_test_add_data_func ("/client/kept-before-written",
                        GSIZE_TO_POINTER (UPLOAD_BYTES), test_kept_connection);
  g_test_add_func ("/client/write-takes-the-error",
                   test_write_takes_the_error);
  return g_test_run ();
}
