/* Version moves: followed by every node, conducted by one.  */
#include <string.h>

#include "cardamom/conduct.h"
#include "cardamom/move.h"
#include "cardamom/registry.h"
#include "control.h"

#define TICK (200 * CS_MSEC) /* Between looks at each move.  */
#define FALSE_ALARM 0.0025   /* Chance that a good version is taken back.  */
#define FIRST_PERMILLE 50    /* First share of the new version.  */
#define WRITE_PAUSE (250 * CS_MSEC) /* After a write that failed.  */
#define MOVE_FIELDS 13
/* A write that takes longer has most likely lost the table; a slow one takes
   some hundred milliseconds.  */
#define WRITE_SLOW (800 * CS_MSEC)

/* The state of a move: a row of CS_SPACE_MESH, and what the node that
   conducts it tells the others.  */
typedef struct
{
  int64_t order; /* Revision of the operator's row.  */
  int64_t epoch; /* Grows with each node that takes the move over.  */
  int64_t step;  /* Grows with each write of one.  */
  char owner[CS_LIFE_TEXT];
  char current[CS_LIFE_TEXT]; /* The version that has the requests.  */
  char to[CS_LIFE_TEXT];
  int64_t share_permille;
  cs_move_phase_t phase;
  int64_t start_ms, deadline_ms; /* Wall time.  */
} state_t;

/* What the server beside a node has done, as that node tells.  */
typedef struct
{
  char version[CS_LIFE_TEXT], instance[CS_LIFE_TEXT];
  int64_t work; /* Running and waiting.  */
  cs_usec_t at;
  GHashTable *arms; /* route -> cs_arm_t *, cumulative.  */
} evidence_t;

typedef struct
{
  control_t *control;
  char service[CS_LIFE_TEXT];
  cs_order_t order;
  int64_t order_revision; /* 0: no order.  */
  cs_usec_t ordered_at;
  int64_t ordered_ms;
  state_t state;
  int64_t row_revision; /* Of the row that STATE stands in; 0: none.  */
  int64_t told_order;   /* What operators were last told.  */
  cs_move_phase_t told_phase;
  bool has_state;
  cs_usec_t heard; /* Last sign of the node that conducts.  */
  /* While this node conducts.  */
  bool mine, writing;
  state_t wanted; /* Being written.  */
  cs_usec_t write_at, settled_at;
  cs_usec_t write_began;
  bool write_failed; /* The last one.  */
  cs_jury_t *jury;
  GHashTable *evidence; /* node -> evidence_t *.  */
  GString *reason;
} move_t;

static int64_t
wall_ms (const control_t *c)
{
  return cs_wall (c->ctx) / CS_MSEC;
}

static void
free_evidence (void *data)
{
  evidence_t *e = data;
  g_hash_table_unref (e->arms);
  g_free (e);
}

static move_t *
move_of (control_t *c, const char *service)
{
  move_t *m = g_hash_table_lookup (c->moves, service);
  if (m)
    return m;
  m = g_new0 (move_t, 1);
  m->control = c;
  g_strlcpy (m->service, service, sizeof m->service);
  m->evidence
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_evidence);
  m->reason = g_string_new (NULL);
  g_hash_table_insert (c->moves, m->service, m);
  return m;
}

static void
pack_state (cs_pack_t *pack, const char *service, const state_t *s, bool able)
{
  cs_pack_array (pack, MOVE_FIELDS);
  cs_pack_number (pack, CS_FRAME_MOVE);
  cs_pack_text (pack, service);
  cs_pack_number (pack, s->order);
  cs_pack_number (pack, s->epoch);
  cs_pack_number (pack, s->step);
  cs_pack_text (pack, s->owner);
  cs_pack_text (pack, s->current);
  cs_pack_text (pack, s->to);
  cs_pack_number (pack, s->share_permille);
  cs_pack_number (pack, s->phase);
  cs_pack_number (pack, s->start_ms);
  cs_pack_number (pack, s->deadline_ms);
  cs_pack_number (pack, able);
}

static void
take_name (cs_cursor_t *in, char out[CS_LIFE_TEXT])
{
  cs_str_t text = cs_take_str (in);
  if (text.len >= CS_LIFE_TEXT)
    {
      in->bad = true;
      return;
    }
  memcpy (out, text.data, text.len);
  out[text.len] = '\0';
}

/* The fields after the number of the frame.  Returns whether the conductor
   can write to the table.  */
static bool
take_state (cs_cursor_t *in, char service[CS_LIFE_TEXT], state_t *s)
{
  *s = (state_t){ 0 };
  take_name (in, service);
  s->order = cs_take_number (in);
  s->epoch = cs_take_number (in);
  s->step = cs_take_number (in);
  take_name (in, s->owner);
  take_name (in, s->current);
  take_name (in, s->to);
  s->share_permille = cs_take_number (in);
  int64_t phase = cs_take_number (in);
  s->start_ms = cs_take_number (in);
  s->deadline_ms = cs_take_number (in);
  bool able = cs_take_number (in) != 0;
  if (phase < CS_MOVE_RUNNING || phase > CS_MOVE_TAKEN_BACK
      || s->share_permille < 0 || s->share_permille > CS_SHARE_ONE)
    in->bad = true;
  else
    s->phase = (cs_move_phase_t)phase;
  return able;
}

static bool
newer (const state_t *a, const state_t *b)
{
  if (a->order != b->order)
    return a->order > b->order;
  if (a->epoch != b->epoch)
    return a->epoch > b->epoch;
  return a->step > b->step;
}

/* Have requests follow STATE.  */
static void
apply_state (move_t *m)
{
  const state_t *s = &m->state;
  cs_version_t v = { .order = s->order, .share_permille = s->share_permille };
  g_strlcpy (v.service, m->service, sizeof v.service);
  g_strlcpy (v.current, s->phase == CS_MOVE_DONE ? s->to : s->current,
             sizeof v.current);
  if (s->phase == CS_MOVE_RUNNING)
    g_strlcpy (v.trial, s->to, sizeof v.trial);
  cs_traffic_set_version (m->control->traffic, &v);
}

static void
stop_conducting (move_t *m)
{
  m->mine = false;
  if (m->jury)
    cs_jury_drop (m->control->ctx, m->jury);
  m->jury = NULL;
  g_hash_table_remove_all (m->evidence);
}

static void
adopt (move_t *m, const state_t *state)
{
  bool step = !m->has_state || newer (state, &m->state);
  if (!step)
    return;
  m->state = *state;
  m->has_state = true;
  if (m->mine && strcmp (state->owner, m->control->settings.node) != 0)
    {
      cs_event (CS_E_MOVE,
                "service=%s step=lost owner=%s epoch=%" G_GINT64_FORMAT,
                m->service, state->owner, state->epoch);
      stop_conducting (m);
    }
  apply_state (m);
}

void
moves_order (control_t *c, const cs_entry_t *entry)
{
  cs_order_t order;
  if (c->adapter->order (c->ctx, cs_str_of_gstring (entry->value), &order)
      != CS_OK)
    {
      cs_event (CS_E_CONFIG_BAD,
                "row=%s revision=%" G_GINT64_FORMAT " why=\"%s\"", entry->key,
                entry->revision, cs_message (c->ctx));
      return;
    }
  move_t *m = move_of (c, order.service);
  if (entry->revision <= m->order_revision)
    return;
  m->order = order;
  m->order_revision = entry->revision;
  m->ordered_at = control_now (c);
  m->ordered_ms = wall_ms (c);
  if (m->mine)
    stop_conducting (m);
  cs_event (CS_E_MOVE,
            "service=%s step=ordered to=%s over_ms=%" G_GINT64_FORMAT,
            m->service, order.to, order.over / CS_MSEC);
}

/* A row of CS_SPACE_MESH.  */
void
moves_row (control_t *c, const cs_entry_t *entry)
{
  cs_unpack_t unpack;
  cs_cursor_t in;
  state_t state;
  char service[CS_LIFE_TEXT] = "";
  if (!entry->value || !g_str_has_prefix (entry->key, ROW_MOVE)
      || cs_unpack_init (c->ctx, &unpack, cs_str_of_gstring (entry->value),
                         &in)
             != CS_OK)
    return;
  cs_take_number (&in);
  take_state (&in, service, &state);
  if (!in.bad)
    {
      move_t *m = move_of (c, service);
      m->row_revision = MAX (m->row_revision, entry->revision);
      adopt (m, &state);
    }
  cs_unpack_clear (&unpack);
}

void
moves_take_move (control_t *c, const char *from, cs_cursor_t *in)
{
  char service[CS_LIFE_TEXT] = "";
  state_t state;
  bool able = take_state (in, service, &state);
  if (in->bad)
    return;
  move_t *m = move_of (c, service);
  adopt (m, &state);
  if (strcmp (m->state.owner, from) != 0 || newer (&m->state, &state))
    return;
  if (able)
    m->heard = control_now (c);
  if (state.phase == CS_MOVE_RUNNING
      && strcmp (c->life.report.service, service) == 0)
    cs_traffic_give_evidence (c->traffic, from);
}

/* The growth of ARM since the last report of the same server goes to the
   jury.  */
static void
add_evidence (move_t *m, evidence_t *e, const char *route, const cs_arm_t *arm)
{
  cs_sample_t now = { 0 }, before = { 0 }, growth;
  const cs_arm_t *known = g_hash_table_lookup (e->arms, route);
  bool is_new = strcmp (e->version, m->state.to) == 0;
  if (!is_new && strcmp (e->version, m->state.current) != 0)
    return;
  *(is_new ? &now.new : &now.old) = *arm;
  if (known)
    *(is_new ? &before.new : &before.old) = *known;
  cs_sample_subtract (&growth, &now, &before);
  cs_jury_add (m->control->ctx, m->jury, route, &growth);
}

static evidence_t *
evidence_of (move_t *m, const char *node, const char *version,
             const char *instance, bool *first)
{
  evidence_t *e = g_hash_table_lookup (m->evidence, node);
  *first = !e || strcmp (e->instance, instance) != 0;
  if (!*first)
    return e;
  e = g_new0 (evidence_t, 1);
  e->arms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_strlcpy (e->version, version, sizeof e->version);
  g_strlcpy (e->instance, instance, sizeof e->instance);
  g_hash_table_replace (m->evidence, g_strdup (node), e);
  return e;
}

void
moves_take_evidence (control_t *c, const char *from, cs_cursor_t *in)
{
  char service[CS_LIFE_TEXT], version[CS_LIFE_TEXT], instance[CS_LIFE_TEXT];
  bool first;
  take_name (in, service);
  take_name (in, version);
  take_name (in, instance);
  int64_t work = cs_take_number (in);
  cs_cursor_t arms = cs_take_array (in);
  move_t *m = in->bad ? NULL : g_hash_table_lookup (c->moves, service);
  if (!m || !m->mine || !m->jury)
    return;
  evidence_t *e = evidence_of (m, from, version, instance, &first);
  e->work = work;
  e->at = control_now (c);
  while (arms.left >= 2)
    {
      cs_sample_t sample;
      char *route = cs_take_text (&arms);
      cs_sample_take (&arms, &sample);
      if (arms.bad)
        in->bad = true;
      /* What an old version did before the move is no comparison.  */
      else
        {
          if (!first || strcmp (version, m->state.to) == 0)
            add_evidence (m, e, route, &sample.new);
          g_hash_table_replace (e->arms, g_strdup (route),
                                g_memdup2 (&sample.new, sizeof sample.new));
        }
      g_free (route);
      if (in->bad)
        return;
    }
}

/* The version that has the service's requests, as far as members tell.  */
static void
find_current (move_t *m, char out[CS_LIFE_TEXT])
{
  GHashTableIter iter;
  gpointer value;
  const cs_member_t *oldest = NULL;
  g_hash_table_iter_init (&iter, m->control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_member_t *member = &((known_t *)value)->member;
      if (strcmp (member->service, m->service) == 0 && member->version[0]
          && strcmp (member->version, m->order.to) != 0
          && (!oldest || member->born_ms < oldest->born_ms))
        oldest = member;
    }
  g_strlcpy (out, oldest ? oldest->version : "", CS_LIFE_TEXT);
}

static void on_written (void *user, cs_status_t status, GPtrArray *entries,
                        int64_t revision);

/* Write WANTED as the state of the move, beside what operators read.  */
static void
write_state (move_t *m, const state_t *wanted)
{
  control_t *c = m->control;
  cs_pack_t pack;
  char *key, *text;
  char *row = g_strconcat (ROW_MOVE, m->service, NULL);
  m->wanted = *wanted;
  m->writing = true;
  m->write_began = control_now (c);
  cs_pack_init (&pack);
  pack_state (&pack, m->service, wanted, true);
  c->adapter->move_state (m->service, wanted->to, wanted->phase, &key, &text);
  cs_expect_t expect
      = { .space = CS_SPACE_MESH, .key = row, .revision = m->row_revision };
  cs_put_t puts[] = {
    { .space = CS_SPACE_MESH, .key = row, .value = cs_pack_payload (&pack) },
    { .space = CS_SPACE_STATES, .key = key, .value = cs_str_of (text) }
  };
  bool tell = m->told_order != wanted->order || m->told_phase != wanted->phase;
  c->table->vtable->commit (c->table, &expect, 1, puts, tell ? 2 : 1,
                            on_written, m);
  cs_pack_clear (&pack);
  g_free (row);
  g_free (key);
  g_free (text);
}

static void
send_sign (move_t *m)
{
  cs_pack_t pack;
  cs_pack_init (&pack);
  /* Who cannot write leaves the move to others.  */
  bool slow
      = m->writing && control_now (m->control) - m->write_began > WRITE_SLOW;
  bool able = !m->write_failed && !slow;
  pack_state (&pack, m->service, &m->state, able);
  cs_traffic_send (m->control->traffic, NULL, NULL, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
  if (m->state.phase == CS_MOVE_RUNNING
      && strcmp (m->control->life.report.service, m->service) == 0)
    cs_traffic_give_evidence (m->control->traffic, m->control->settings.node);
}

static void
begin_conducting (move_t *m)
{
  control_t *c = m->control;
  const void *judge;
  m->mine = true;
  m->settled_at = 0;
  g_string_truncate (m->reason, 0);
  g_hash_table_remove_all (m->evidence);
  if (m->jury)
    cs_jury_drop (c->ctx, m->jury);
  m->jury = NULL;
  if (cs_plugin_find (c->ctx, CS_PLUGIN_JUDGE, "cusum", &judge) == CS_OK)
    m->jury = cs_jury_new (c->ctx, judge, FALSE_ALARM);
}

static void
log_step (const move_t *m)
{
  const state_t *s = &m->state;
  cs_event (CS_E_MOVE,
            "service=%s step=%s from=%s to=%s share_permille=%" G_GINT64_FORMAT
            " epoch=%" G_GINT64_FORMAT " owner=%s calls=%" G_GUINT64_FORMAT
            " reason=\"%s\"",
            m->service, cs_move_phase_name (s->phase), s->current, s->to,
            s->share_permille, s->epoch, s->owner,
            m->jury ? cs_jury_new_calls (m->jury) : 0, m->reason->str);
}

static void
on_written (void *user, cs_status_t status, GPtrArray *entries,
            int64_t revision)
{
  move_t *m = user;
  control_t *c = m->control;
  m->writing = false;
  control_note_table (c, status);
  if (status == CS_CONFLICT)
    {
      /* Another node has written, or an answer of ours was lost.  */
      m->row_revision = 0;
      for (guint i = 0; i < entries->len; i++)
        moves_row (c, entries->pdata[i]);
      m->write_at = control_now (c) + WRITE_PAUSE;
      bool own = m->has_state && m->state.epoch == m->wanted.epoch
                 && m->state.step == m->wanted.step
                 && strcmp (m->state.owner, c->settings.node) == 0;
      if (own && !m->mine)
        begin_conducting (m);
      else if (!own && m->mine && m->state.epoch != m->wanted.epoch)
        stop_conducting (m);
      return;
    }
  if (status != CS_OK)
    {
      m->write_failed = true;
      m->write_at = control_now (c) + WRITE_PAUSE;
      return;
    }
  bool claim = !m->has_state || m->state.epoch != m->wanted.epoch
               || m->state.order != m->wanted.order;
  m->row_revision = revision;
  m->told_order = m->wanted.order;
  m->told_phase = m->wanted.phase;
  m->write_failed = false;
  if (m->has_state && newer (&m->state, &m->wanted))
    return;
  m->state = m->wanted;
  m->has_state = true;
  apply_state (m);
  if (claim)
    begin_conducting (m);
  log_step (m);
  m->settled_at = control_now (c);
  send_sign (m);
  if (m->state.phase != CS_MOVE_RUNNING)
    stop_conducting (m);
}

/* This node's place among those that may conduct moves of M's service.  */
static unsigned
rank_for (const move_t *m)
{
  const control_t *c = m->control;
  GHashTableIter iter;
  gpointer value;
  uint64_t own = cs_conduct_order (m->service, c->settings.node);
  unsigned rank = 0;
  g_hash_table_iter_init (&iter, c->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const known_t *known = value;
      rank += known->reachable && !known->member.stopping
              && cs_conduct_order (m->service, known->member.name) < own;
    }
  return rank;
}

static void
claim (move_t *m)
{
  control_t *c = m->control;
  bool same = m->has_state && m->state.order == m->order_revision;
  state_t wanted = { .order = m->order_revision,
                     .epoch = m->state.epoch + 1,
                     .start_ms = m->ordered_ms,
                     .deadline_ms = m->ordered_ms + m->order.over / CS_MSEC };
  if (same)
    {
      wanted.share_permille = m->state.share_permille;
      wanted.start_ms = m->state.start_ms;
      wanted.deadline_ms = m->state.deadline_ms;
      g_strlcpy (wanted.current, m->state.current, sizeof wanted.current);
    }
  else if (m->has_state)
    g_strlcpy (wanted.current,
               m->state.phase == CS_MOVE_DONE ? m->state.to : m->state.current,
               sizeof wanted.current);
  else
    find_current (m, wanted.current);
  g_strlcpy (wanted.owner, c->settings.node, sizeof wanted.owner);
  g_strlcpy (wanted.to, m->order.to, sizeof wanted.to);
  if (strcmp (wanted.current, wanted.to) == 0)
    wanted.phase = CS_MOVE_DONE;
  write_state (m, &wanted);
}

static bool
has_upstreams (const move_t *m)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, m->control->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const cs_member_t *member = &((known_t *)value)->member;
      if (strcmp (member->service, m->service) == 0
          && strcmp (member->version, m->state.to) == 0
          && member->state == CS_LIFE_READY && !member->stopping)
        return true;
    }
  return false;
}

/* Whether every node beside a server of the old version says that nothing of
   it runs or waits any more.  */
static bool
old_is_idle (const move_t *m)
{
  control_t *c = m->control;
  GHashTableIter iter;
  gpointer value;
  cs_usec_t now = control_now (c), oldest = 0;
  int64_t work = 0;
  g_hash_table_iter_init (&iter, c->members);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const known_t *known = value;
      const cs_member_t *member = &known->member;
      if (!known->reachable || strcmp (member->service, m->service) != 0
          || strcmp (member->version, m->state.current) != 0)
        continue;
      const evidence_t *e = g_hash_table_lookup (m->evidence, member->name);
      work += e ? e->work : 1;
      oldest = MAX (oldest, e ? now - e->at : now);
    }
  return cs_conduct_idle (work, oldest, now - m->settled_at);
}

static cs_move_t
as_document (const move_t *m)
{
  const state_t *s = &m->state;
  return (cs_move_t){
    .start_ms = s->start_ms,
    .deadline_ms = cs_conduct_verdict_by (s->start_ms, s->deadline_ms),
    .first_permille = FIRST_PERMILLE,
    .phase = s->phase,
    .share_permille = s->share_permille,
    .since_ms = wall_ms (m->control)
                - (control_now (m->control) - m->settled_at) / CS_MSEC
  };
}

/* The version is bad, or cannot be shown to be good in time: it gets nothing
   from now on, whether the table can be written or not.  */
static void
take_back (move_t *m, const char *why)
{
  if (why)
    g_string_assign (m->reason, why);
  else
    cs_jury_explain (m->jury, m->reason);
  m->state.share_permille = 0;
  m->state.phase = CS_MOVE_TAKEN_BACK;
  m->state.step++;
  apply_state (m);
  send_sign (m);
}

static void
write_step (move_t *m, int64_t share, cs_move_phase_t phase)
{
  state_t wanted = m->state;
  wanted.step++;
  wanted.share_permille = share;
  wanted.phase = phase;
  write_state (m, &wanted);
}

static void
conduct (move_t *m, cs_usec_t now)
{
  control_t *c = m->control;
  cs_jury_tick (m->jury);
  send_sign (m);
  if (m->writing || now < m->write_at)
    return;
  if (m->reason->len)
    {
      write_step (m, 0, CS_MOVE_TAKEN_BACK);
      return;
    }
  cs_move_t document = as_document (m);
  cs_move_facts_t facts = { .now_ms = wall_ms (c),
                            .verdict = cs_jury_verdict (m->jury),
                            .new_calls = cs_jury_new_calls (m->jury),
                            .has_upstreams = has_upstreams (m) };
  cs_step_t step = cs_move_decide (&document, &facts);
  if (step.kind == CS_STEP_TAKE_BACK)
    {
      take_back (m, step.reason);
      write_step (m, 0, CS_MOVE_TAKEN_BACK);
    }
  else if (m->state.share_permille == CS_SHARE_ONE)
    {
      if (old_is_idle (m))
        write_step (m, CS_SHARE_ONE, CS_MOVE_DONE);
    }
  else if (step.kind == CS_STEP_FINISH)
    write_step (m, CS_SHARE_ONE, CS_MOVE_RUNNING);
  else if (step.kind == CS_STEP_RAISE)
    write_step (m, step.share_permille, CS_MOVE_RUNNING);
}

static void
tick_move (move_t *m, cs_usec_t now)
{
  bool open = m->order_revision
              && !(m->has_state && m->state.order >= m->order_revision
                   && m->state.phase != CS_MOVE_RUNNING);
  bool conducts = m->mine && m->jury;
  if ((!open && !conducts) || m->control->stopping)
    return;
  if (conducts)
    {
      conduct (m, now);
      return;
    }
  bool begun = m->has_state && m->state.order == m->order_revision;
  cs_usec_t since = begun ? MAX (m->heard, m->ordered_at) : m->ordered_at;
  if (!m->writing && now >= m->write_at && m->control->table_up
      && cs_conduct_takes (rank_for (m), begun, now - since))
    claim (m);
}

void
moves_tick (control_t *c, cs_usec_t now)
{
  GHashTableIter iter;
  gpointer move;
  if (now - c->moved_at < TICK)
    return;
  c->moved_at = now;
  g_hash_table_iter_init (&iter, c->moves);
  while (g_hash_table_iter_next (&iter, NULL, &move))
    tick_move (move, now);
}
