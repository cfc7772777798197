/* Replica placement for the records of idempotency keys.

   The record of a key is stored in one data centre, see cs_key_replica_dc, on
   the two members in service there with the highest rendezvous weight for the
   key: its replicas.  Both store the claim before the request runs.
   Two membership views that differ by one member share a replica, which
   refuses the second claim; of views that differ by more, at most one has a
   majority.  After both replicas of a key are lost together, requests with
   that key are answered "unknown" until its retention has passed: see
   cs_replica_loss_t.  */
#ifndef CARDAMOM_KEY_REPLICAS_H
#define CARDAMOM_KEY_REPLICAS_H

#include "cardamom/members.h"

#define CS_KEY_REPLICAS 2

/* The members in service of DC by falling weight for KEY; the first
   CS_KEY_REPLICAS are its replicas.  The caller unrefs the list; its
   cs_member_t are borrowed.  */
GPtrArray *cs_key_replicas (const cs_members_t *members, const char *dc,
                            const char *key);

/* The rendezvous weight of NAME, a member or data centre, for KEY; the highest
   weights win.  */
uint64_t cs_rendezvous_weight (const char *name, const char *key);

/* Whether this node's partition of its data centre has a quorum: more than
   half of the members known there are alive, or exactly half and among them
   the first by rank.  Members that are dead count as known, those that have
   left do not.  */
bool cs_dc_has_quorum (const cs_members_t *members);

/* The data centre that stores the record of KEY: NAME for keys of the form
   "dc:NAME:REST", else the one of the NULL-terminated DCS with the highest
   rendezvous weight.  NULL when DCS is empty.  The string belongs to DCS or is
   interned.  */
const char *cs_key_replica_dc (const char *key, char *const *dcs);

/* Members of a data centre that were lost together, and with them the records
   of keys whose replicas were all among them.  */
typedef struct
{
  int64_t until_ms; /* Wall time at which the lost records expire.  */
  bool all_records; /* All records were lost; both lists are empty.  */
  GPtrArray *members_before; /* char *, names of members in service before.  */
  GPtrArray *members_lost;   /* char *, names of those that were lost.  */
} cs_replica_loss_t;

/* A new loss without names; free it with cs_replica_loss_free.  */
cs_replica_loss_t *cs_replica_loss_new (int64_t until_ms, bool all);
void cs_replica_loss_free (void *loss);
void cs_replica_loss_pack (cs_pack_t *pack, const cs_replica_loss_t *loss);
/* Decode a loss that the caller frees; NULL when CURSOR holds none.  */
cs_replica_loss_t *cs_replica_loss_unpack (cs_unpack_cursor_t *cursor);

/* Whether the records of KEY may have been lost by LOSS.  */
bool cs_replica_loss_covers (const cs_replica_loss_t *loss, const char *key);

#endif
