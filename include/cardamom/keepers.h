/* Which members keep the record of an idempotency key, and when they can
   vouch for it.

   The record of a key is kept in the key's home data centre, by the two
   members in service that come first for it by rendezvous hashing.  Both hold
   the claim before the request is run.  Two views of the membership that
   differ by one member share a keeper, which refuses the second claim; views
   that differ by more cannot both have a majority.  When both keepers of a
   key were lost together, the key is answered "unknown" until its retention
   has passed: see cs_loss_t.  */
#ifndef CARDAMOM_KEEPERS_H
#define CARDAMOM_KEEPERS_H

#include "cardamom/members.h"

#define CS_KEEPERS 2

/* The members in service of DC, in order of preference for KEY.  The caller
   unrefs the list of cs_member_t.  */
GPtrArray *cs_keepers_of (const cs_members_t *members, const char *dc,
                          const char *key);

/* How much the member NAME prefers KEY; the two highest keep it.  */
uint64_t cs_keeper_weight (const char *name, const char *key);

/* Whether this node's side of its data centre may decide: more than half of
   the members known there, dead ones counted, or half with the first by
   rank.  */
bool cs_keepers_have_majority (const cs_members_t *members);

/* The home of KEY: NAME for keys of the form "dc:NAME:REST", else the first
   of DCS by rendezvous hashing.  NULL when DCS is empty.  Borrowed from DCS,
   or interned.  */
const char *cs_keepers_home (const char *key, char *const *dcs);

/* Members of a data centre that were lost together.  */
typedef struct
{
  int64_t until_ms; /* Wall time at which the retention has passed.  */
  bool all;         /* Everything was lost; VIEW and DEAD are empty.  */
  GPtrArray *view;  /* char *, in service before the loss.  */
  GPtrArray *dead;  /* char *, those of them that were lost.  */
} cs_loss_t;

cs_loss_t *cs_loss_new (int64_t until_ms, bool all);
void cs_loss_free (void *loss);
void cs_loss_pack (cs_pack_t *pack, const cs_loss_t *loss);
/* NULL when CURSOR holds no loss.  */
cs_loss_t *cs_loss_take (cs_cursor_t *cursor);

/* Whether the records of KEY may have been lost by LOSS.  */
bool cs_loss_covers (const cs_loss_t *loss, const char *key);

#endif
