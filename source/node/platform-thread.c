#include "node.h"

/* A call of FUNCTION in the platform thread.  */
typedef struct
{
  platform_function_t function;
  void *arg;
} task_t;

struct platform_thread
{
  node_t *node;
  pthread_t thread;
  cs_queue_t tasks;
};

/* Posted by platform_thread_stop to end the thread.  */
static task_t stop_task;

static void *
run_platform_thread (void *arg)
{
  platform_thread_t *platform_thread = arg;
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
      cpu_meter_update (&cpu);
    }
  cs_platform_drop (ctx, platform);
  return NULL;
}

platform_thread_t *
platform_thread_start (node_t *node)
{
  platform_thread_t *platform_thread = g_new0 (platform_thread_t, 1);
  platform_thread->node = node;
  cs_queue_init (&platform_thread->tasks);
  platform_thread->thread
      = node_thread_create (run_platform_thread, platform_thread);
  return platform_thread;
}

void
platform_thread_stop (platform_thread_t *platform_thread)
{
  cs_queue_push (&platform_thread->tasks, &stop_task);
  pthread_join (platform_thread->thread, NULL);
  cs_queue_clear (&platform_thread->tasks);
  g_free (platform_thread);
}

void
platform_thread_post (platform_thread_t *platform_thread,
                      platform_function_t function, void *arg)
{
  task_t *task = g_new (task_t, 1);
  task->function = function;
  task->arg = arg;
  cs_queue_push (&platform_thread->tasks, task);
}
