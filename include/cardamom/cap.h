/* Usage caps of workspaces over all nodes: the coordinator of some workspaces,
   and what a node holds of their caps.  No input or output; times are passed
   in.

   It is made for workspaces whose callers come at few nodes or at all of them,
   in bursts, move between data centres, repeat at once, or send many times
   what they may.  docs/design/workspaces.md says why the sum holds.  */
#ifndef CARDAMOM_CAP_H
#define CARDAMOM_CAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/clock.h"

/* Every workspace belongs to one of these groups, which has one coordinator.
 */
#define CS_CAP_GROUPS 4

/* A pledge is valid for this long at the coordinator; a node that has lost its
   coordinator pledges to another one CS_CAP_PLEDGE_MARGIN after that at the
   earliest.  */
#define CS_CAP_PLEDGE_TIME (1000 * CS_MSEC)
#define CS_CAP_PLEDGE_MARGIN (500 * CS_MSEC)

/* What the settings allow beyond a cap, in each window.  */
typedef struct
{
  cs_usec_t window;
  double over;  /* Part of what the cap allows in a window.  */
  double slack; /* Requests besides.  */
} cs_cap_tolerance_t;

/* The cap of one workspace.  */
typedef struct
{
  uint64_t workspace;
  double per_s, burst;
} cs_cap_t;

/* What a node reports of one workspace, and asks for.  */
typedef struct
{
  uint64_t workspace;
  int64_t used; /* Since the last report; below 0: given back.  */
  int64_t held; /* Tokens that it holds.  */
  int64_t want; /* Requests that wait for a token.  */
} cs_cap_ask_t;

/* The coordinator's answer.  */
typedef struct
{
  uint64_t workspace;
  int64_t add; /* Tokens more.  */
  /* Of ADD, those that the coordinator has taken from the bucket already: they
     are not reported as used.  */
  int64_t charged;
  /* When a token for a request that still waits is expected; 0: none waits. */
  cs_usec_t retry_after;
} cs_cap_grant_t;

/* The coordinator's side.  */
typedef struct cs_cap_coordinator cs_cap_coordinator_t;

cs_cap_coordinator_t *
cs_cap_coordinator_new (const cs_cap_tolerance_t *tolerance);
void cs_cap_coordinator_free (cs_cap_coordinator_t *coordinator);

/* NODE has pledged its part of the groups, a set of bits; it has released
   the others.  */
void cs_cap_coordinator_pledge (cs_cap_coordinator_t *coordinator,
                                uint64_t node, unsigned groups, cs_usec_t now);

/* This node stops: the others turn to another coordinator when they hear of
   it, and their parts count there.  */
void cs_cap_coordinator_forget_pledges (cs_cap_coordinator_t *coordinator);

/* The part, 0 to 1, of GROUP that is pledged to this coordinator, where NODES
   nodes have a part.  */
double cs_cap_coordinator_part (cs_cap_coordinator_t *coordinator,
                                unsigned group, unsigned nodes, cs_usec_t now);

/* Handle ASK of NODE under CAP, of which PART is this coordinator's.  */
cs_cap_grant_t cs_cap_coordinator_ask (cs_cap_coordinator_t *coordinator,
                                       uint64_t node, const cs_cap_ask_t *ask,
                                       const cs_cap_t *cap, double part,
                                       cs_usec_t now);

/* NODE holds nothing of GROUP any more.  */
void cs_cap_coordinator_forget (cs_cap_coordinator_t *coordinator,
                                uint64_t node, unsigned group);

/* A node's side: its tokens, for all workspaces.  */
typedef struct cs_allowance cs_allowance_t;

cs_allowance_t *cs_allowance_new (void);
void cs_allowance_free (cs_allowance_t *allowance);

/* Take a token of WORKSPACE for a request; false if there is none.  */
bool cs_allowance_take (cs_allowance_t *allowance, uint64_t workspace,
                        cs_usec_t now);

/* The request that took a token has not run.  */
void cs_allowance_give_back (cs_allowance_t *allowance, uint64_t workspace);

/* Append to ASKS, of cs_cap_ask_t, what is to be reported or asked of GROUP at
   NOW.  WANTED tells, with USER, how many requests of a workspace wait.  */
void cs_allowance_collect (cs_allowance_t *allowance, unsigned group,
                           int64_t (*wanted) (void *user, uint64_t workspace),
                           void *user, cs_usec_t now, GArray *asks);

/* Add what the coordinator grants.  */
void cs_allowance_grant (cs_allowance_t *allowance,
                         const cs_cap_grant_t *grant, cs_usec_t now);

/* Drop all tokens of GROUP: its coordinator is lost.  */
void cs_allowance_drop (cs_allowance_t *allowance, unsigned group);

/* The group of WORKSPACE.  */
unsigned cs_cap_group (uint64_t workspace);

#endif
