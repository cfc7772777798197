/* Crash records on their way between nodes.  Every node has those of all: the
   node that creates one sends it to all reachable ones, and a new connection
   gets the records of requests in quarantine.  */
#include "traffic.h"

int64_t
traffic_wall_ms (const cs_traffic_t *traffic)
{
  return cs_now_wall (traffic->ctx) / CS_MSEC;
}

static void
pack_records (cs_pack_t *pack, const cs_record_t *const *records, size_t count)
{
  cs_pack_array (pack, 1 + count);
  cs_pack_int64 (pack, CS_FRAME_CRASH_RECORDS);
  for (size_t i = 0; i < count; i++)
    cs_record_pack (pack, records[i]);
}

static void
send_to_all (void *user, const cs_record_t *record)
{
  cs_traffic_t *traffic = user;
  const cs_record_t *const records[] = { record };
  cs_pack_t pack;
  cs_event_log (CS_E_CRASH, "record=%s active=%d", record->key,
                cs_crash_record_is_active (record));
  cs_pack_init (&pack);
  pack_records (&pack, records, 1);
  peers_broadcast (traffic, cs_pack_payload (&pack), NULL);
  cs_pack_clear (&pack);
}

static void
store (void *user, const cs_record_t *record)
{
  cs_traffic_t *traffic = user;
  traffic->handler.crash_record_lasting (traffic->user, record);
}

const cs_crash_history_handler_t crash_history_handler
    = { .created = send_to_all, .lasting = store };

void
crash_record_send (cs_stream_t *stream, const cs_record_t *record)
{
  const cs_record_t *const records[] = { record };
  cs_pack_t pack;
  cs_pack_init (&pack);
  pack_records (&pack, records, 1);
  cs_stream_send (stream, cs_pack_payload (&pack));
  cs_pack_clear (&pack);
}

/* Send PEER the RECORDS, which are unreferenced.  */
static void
send_records (peer_t *peer, GPtrArray *records)
{
  if (records->len)
    {
      cs_pack_t pack;
      cs_pack_init (&pack);
      pack_records (&pack, (const cs_record_t *const *)records->pdata,
                    records->len);
      peer_send (peer, &pack);
      cs_pack_clear (&pack);
    }
  g_ptr_array_unref (records);
}

void
crash_records_send_quarantined (peer_t *peer)
{
  send_records (peer,
                cs_crash_history_quarantined (peer->traffic->crash_history));
}

void
crash_records_send_of_request (peer_t *peer, uint64_t fingerprint)
{
  const cs_crash_history_t *history = peer->traffic->crash_history;
  if (cs_crash_history_trust (history, fingerprint) != CS_REQUEST_TRUSTED)
    send_records (peer, cs_crash_history_of_request (history, fingerprint));
}

void
crash_records_received (cs_traffic_t *traffic, cs_unpack_cursor_t *in)
{
  while (in->remaining && !in->failed)
    {
      cs_record_t *record = cs_record_unpack (in);
      if (record)
        cs_crash_history_merge (traffic->crash_history, record,
                                traffic_wall_ms (traffic));
      cs_record_free (record);
    }
}

static void
apply_crash_record (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  cs_record_t *record = arg;
  cs_crash_history_merge (traffic->crash_history, record,
                          traffic_wall_ms (traffic));
  cs_record_free (record);
}

void
cs_traffic_add_crash_record (cs_traffic_t *traffic, const cs_record_t *record)
{
  cs_mailbox_post (&traffic->mailbox, apply_crash_record, traffic,
                   cs_record_copy (record));
}

static void
repeat_crash_records (void *user, void *arg)
{
  cs_traffic_t *traffic = user;
  GPtrArray *records = cs_crash_history_quarantined (traffic->crash_history);
  (void)arg;
  for (guint i = 0; i < records->len; i++)
    store (traffic, records->pdata[i]);
  g_ptr_array_unref (records);
}

void
cs_traffic_repeat_crash_records (cs_traffic_t *traffic)
{
  cs_mailbox_post (&traffic->mailbox, repeat_crash_records, traffic, NULL);
}
