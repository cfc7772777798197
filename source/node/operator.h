/* Requests to the operators' port that read and write configuration.  Each
   needs "Authorization: Bearer TOKEN" with the team's token.  */
#ifndef CARDAMOM_OPERATOR_H
#define CARDAMOM_OPERATOR_H

#include <jansson.h>

#include "node.h"

/* Fill ANSWER with BODY, taken over.  */
void admin_set_json_answer (cs_httpd_answer_t *answer, int status,
                            json_t *body);
/* Fill ANSWER with the name of STATUS and MESSAGE as JSON, under the HTTP
   status that corresponds to STATUS.  */
void admin_set_error_answer (cs_httpd_answer_t *answer, cs_status_t status,
                             const char *message);

/* POST /v1/changes {"team", "operation", "expected", "sets": [[PATH,
   DOCUMENT or null], ...]}: commit a change of the team's documents; null
   removes one.  "expected" is the version of the team's last change, or -1 for
   any.  */
void operator_post_change (node_t *node, const cs_httpd_request_t *request,
                           cs_httpd_answer_t *answer);

/* GET /v1/subtree/TEAM: the team's documents and the version of its last
   change.  */
void operator_get_subtree (node_t *node, const cs_httpd_request_t *request,
                           cs_httpd_answer_t *answer);

/* GET /v1/history/TEAM: the changes of the team's documents that the change
   log still holds.  */
void operator_get_history (node_t *node, const cs_httpd_request_t *request,
                           cs_httpd_answer_t *answer);

/* GET /v1/operation/TEAM/ID: the version that an operation has committed.  */
void operator_get_operation (node_t *node, const cs_httpd_request_t *request,
                             cs_httpd_answer_t *answer);

#endif
