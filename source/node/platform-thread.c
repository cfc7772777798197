#include "node.h"

/* A call of FUNCTION in the platform thread.  */
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
run_platform_thread (void *arg)
{
  store_t *platform_thread = arg;
  node_t *node = platform_thread->node;
  cs_ctx_t *ctx = node_thread_ctx (node);
  cs_platform_t *platform = NULL;
  task_t *task;
  cs_platform_open (ctx, node->settings.platform,
                    node->settings.platform_address, &platform);
  cpu_meter_t cpu = { 0 };
  while ((task = cs_queue_pop (&platform_thread->tasks)) != &stop_task)
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
  store_t *platform_thread = g_new0 (store_t, 1);
  platform_thread->node = node;
  cs_queue_init (&platform_thread->tasks);
  platform_thread->thread = node_thread (run_platform_thread, platform_thread);
  return platform_thread;
}

void
store_stop (store_t *platform_thread)
{
  cs_queue_push (&platform_thread->tasks, &stop_task);
  pthread_join (platform_thread->thread, NULL);
  cs_queue_clear (&platform_thread->tasks);
  g_free (platform_thread);
}

void
store_post (store_t *platform_thread, store_function_t function, void *arg)
{
  task_t *task = g_new (task_t, 1);
  task->function = function;
  task->arg = arg;
  cs_queue_push (&platform_thread->tasks, task);
}
