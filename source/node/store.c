#include "node.h"

typedef struct
{
  store_function_t function;
  void *arg;
} task_t;

struct store
{
  node_t *node;
  pthread_t thread;
  cs_queue_t tasks;
};

/* Posted by store_stop to end the thread.  */
static task_t stop_task;

static void *
run_store (void *arg)
{
  store_t *store = arg;
  node_t *node = store->node;
  cs_ctx_t *ctx = node_thread_ctx (node);
  cs_platform_t *platform = NULL;
  task_t *task;
  cs_platform_open (ctx, node->settings.platform,
                    node->settings.platform_address, &platform);
  cpu_meter_t cpu = { 0 };
  while ((task = cs_queue_pop (&store->tasks)) != &stop_task)
    {
      task->function (node, ctx, platform, task->arg);
      g_free (task);
      cpu_meter_note (&cpu);
    }
  cs_platform_drop (ctx, platform);
  return NULL;
}

store_t *
store_start (node_t *node)
{
  store_t *store = g_new0 (store_t, 1);
  store->node = node;
  cs_queue_init (&store->tasks);
  store->thread = node_thread (run_store, store);
  return store;
}

void
store_stop (store_t *store)
{
  cs_queue_push (&store->tasks, &stop_task);
  pthread_join (store->thread, NULL);
  cs_queue_clear (&store->tasks);
  g_free (store);
}

void
store_post (store_t *store, store_function_t function, void *arg)
{
  task_t *task = g_new (task_t, 1);
  task->function = function;
  task->arg = arg;
  cs_queue_push (&store->tasks, task);
}
