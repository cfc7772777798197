/* The HTTP server for callers.  */
#include <stdio.h>

#include "node.h"

#define IDLE_TIMEOUT_S 60

static const char *const outcome_names[] = {
  [OUTCOME_DONE] = "done",
  [OUTCOME_NOT_RUN] = "not-run",
  [OUTCOME_UNKNOWN] = "unknown",
};

static void
add_retry_after (GPtrArray *headers, int64_t ms)
{
  char text[32];
  snprintf (text, sizeof text, "%lld", (long long)((ms + 999) / 1000));
  cs_headers_add (headers, "Retry-After", text);
  snprintf (text, sizeof text, "%lld", (long long)ms);
  cs_headers_add (headers, "Cardamom-Retry-After-Ms", text);
}

static void
handle_call (void *user, const cs_httpd_request_t *http_request,
             cs_httpd_answer_t *http_answer)
{
  node_t *node = user;
  cs_ctx_t *ctx = node_thread_ctx (node);
  caller_answer_t answer;
  caller_request_t request
      = { .method = http_request->method,
          .host = http_request->host,
          .path = http_request->request_target,
          .headers = g_ptr_array_ref (http_request->headers),
          .body = http_request->body,
          .body_bytes = http_request->body_bytes };
  atomic_fetch_add (&node->active_calls, 1);
  call_run (node, ctx, &request, &answer);
  http_answer->status = answer.status;
  http_answer->headers
      = answer.headers ? g_ptr_array_ref (answer.headers) : cs_headers_new ();
  cs_headers_add (http_answer->headers, "Cardamom-Outcome",
                  outcome_names[answer.outcome]);
  if (answer.replayed)
    cs_headers_add (http_answer->headers, "Cardamom-Replayed", "true");
  if (answer.retry_after_ms)
    add_retry_after (http_answer->headers, answer.retry_after_ms);
  http_answer->body = answer.body;
  http_answer->claim = answer.claim;
  answer.body = NULL;
  answer.claim = (cs_claim_t){ 0 };
  http_answer->close_connection = atomic_load (&node->draining);
  caller_answer_clear (&answer);
  atomic_fetch_sub (&node->active_calls, 1);
}

cs_httpd_t *
caller_server_start (node_t *node)
{
  const node_settings_t *settings = &node->settings;
  cs_httpd_t *httpd = NULL;
  cs_httpd_options_t options
      = { .host = settings->host,
          .port = (unsigned)settings->port,
          .body_max = (size_t)settings->body_max,
          .connections_max = (unsigned)settings->connections_max,
          .idle_timeout_s = IDLE_TIMEOUT_S,
          .budget = &node->memory };
  cs_httpd_start (node->ctx, &options, handle_call, node, &httpd);
  return httpd;
}
