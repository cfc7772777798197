/* The callers' HTTP port.  */
#include <stdio.h>

#include "node.h"

#define IDLE_S 60

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
on_call (void *user, const cs_httpd_request_t *in, cs_httpd_answer_t *out)
{
  node_t *node = user;
  cs_ctx_t *ctx = node_thread_ctx (node);
  caller_answer_t answer;
  caller_request_t request = { .method = in->method,
                               .host = in->host,
                               .path = in->request_target,
                               .headers = g_ptr_array_ref (in->headers),
                               .body = in->body };
  atomic_fetch_add (&node->fronting, 1);
  call_run (node, ctx, &request, &answer);
  out->status = answer.status;
  out->headers
      = answer.headers ? g_ptr_array_ref (answer.headers) : cs_headers_new ();
  cs_headers_add (out->headers, "Cardamom-Outcome",
                  outcome_names[answer.outcome]);
  if (answer.replayed)
    cs_headers_add (out->headers, "Cardamom-Replayed", "true");
  if (answer.retry_after_ms)
    add_retry_after (out->headers, answer.retry_after_ms);
  out->body = answer.body;
  answer.body = NULL;
  out->close_connection = atomic_load (&node->draining);
  caller_answer_clear (&answer);
  atomic_fetch_sub (&node->fronting, 1);
}

cs_httpd_t *
front_start (node_t *node)
{
  const node_settings_t *s = &node->settings;
  cs_httpd_t *httpd = NULL;
  cs_httpd_options_t options
      = { .host = s->host,
          .port = (unsigned)s->port,
          .body_max = (size_t)s->body_max,
          .connections_max = (unsigned)s->connections_max,
          .idle_timeout_s = IDLE_S };
  cs_httpd_start (node->ctx, &options, on_call, node, &httpd);
  return httpd;
}
