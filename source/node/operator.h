/* The part of the operators' port that reads and writes configuration.  */
#ifndef CARDAMOM_OPERATOR_H
#define CARDAMOM_OPERATOR_H

#include <jansson.h>

#include "node.h"

/* Answer with BODY, taken over, or with an error and its message.  */
void admin_json (cs_httpd_answer_t *out, int status, json_t *body);
void admin_error (cs_httpd_answer_t *out, cs_status_t status,
                  const char *message);

/* POST /v1/changes {"team", "operation", "expected", "sets": [[PATH,
   DOCUMENT or null], ...]} with "Authorization: Bearer TOKEN".  */
void operator_post_change (node_t *node, const cs_httpd_request_t *in,
                           cs_httpd_answer_t *out);

/* GET /v1/subtree/TEAM: its documents and the version of its last change.  */
void operator_get_subtree (node_t *node, const cs_httpd_request_t *in,
                           cs_httpd_answer_t *out);

/* GET /v1/history/TEAM: its changes that the log still holds.  */
void operator_get_history (node_t *node, const cs_httpd_request_t *in,
                           cs_httpd_answer_t *out);

/* GET /v1/operation/TEAM/ID: the version that an operation made.  */
void operator_get_operation (node_t *node, const cs_httpd_request_t *in,
                             cs_httpd_answer_t *out);

#endif
