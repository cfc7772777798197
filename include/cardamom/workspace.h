/* Workspaces: the callers' side of a configuration.  A workspace has keys, by
   which its requests are known, a priority and a usage cap.

   Keys are kept as keyed digests only.  */
#ifndef CARDAMOM_WORKSPACE_H
#define CARDAMOM_WORKSPACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cardamom/str.h"

#define CS_KEY_DIGEST_BYTES 16

typedef struct
{
  unsigned char bytes[CS_KEY_DIGEST_BYTES];
} cs_key_digest_t;

/* Set the secret that the digests are keyed with, from the name DEPLOYMENT,
   the same at all nodes that exchange configurations.  Call it before the
   first digest. */
void cs_key_digest_set_secret (cs_str_t deployment);

/* The digest of KEY.  */
cs_key_digest_t cs_key_digest (cs_str_t key);

/* Append DIGEST as hexadecimal digits to OUT; read it back.  False if TEXT is
   not a digest.  */
void cs_key_digest_format (GString *out, const cs_key_digest_t *digest);
bool cs_key_digest_parse (const char *text, cs_key_digest_t *digest);

typedef struct
{
  char *name;
  uint64_t id; /* Hash of NAME, by which frames name it.  */
  bool has_priority;
  int64_t priority; /* Goes before that of a route, if HAS_PRIORITY.  */
  /* Requests a second and beyond, over all nodes; PER_S 0: no cap.  */
  double per_s, burst;
  char **allowed_regions; /* As in cs_route_t.  */
} cs_workspace_t;

/* All workspaces of a configuration.  */
typedef struct cs_workspaces cs_workspaces_t;

cs_workspaces_t *cs_workspaces_new (void);
/* Free WORKSPACES; NULL is allowed.  */
void cs_workspaces_free (cs_workspaces_t *workspaces);

/* Add WORKSPACE, which is taken over.  PER_S and BURST that no sum reaches
   count as no cap.  */
void cs_workspaces_add (cs_workspaces_t *workspaces,
                        cs_workspace_t *workspace);

/* Give WORKSPACE, which was added, the key with DIGEST; false if another one
   has it.  */
bool cs_workspaces_add_key (cs_workspaces_t *workspaces,
                            cs_workspace_t *workspace,
                            const cs_key_digest_t *digest);

/* The workspace that holds the key with DIGEST, or that has ID; NULL if there
   is none.  */
const cs_workspace_t *
cs_workspaces_find_key (const cs_workspaces_t *workspaces,
                        const cs_key_digest_t *digest);
const cs_workspace_t *cs_workspaces_find (const cs_workspaces_t *workspaces,
                                          uint64_t id);

/* Whether any of them has a cap.  */
bool cs_workspaces_have_caps (const cs_workspaces_t *workspaces);

unsigned cs_workspaces_count (const cs_workspaces_t *workspaces);

/* The key in VALUE, the value of an Authorization field; empty if its scheme
   is not Bearer or no key follows.  */
cs_str_t cs_bearer_key (cs_str_t value);

#endif
