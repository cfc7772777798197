/* Compares the judges on the same seeded moves, as many of each kind as the
   argument says; one line per judge and kind.
 */
#include <stdio.h>
#include <stdlib.h>

#include "judge-cases.h"

int
main (int argc, char **argv)
{
  guint32 seeds = argc > 1 ? (guint32)atoi (argv[1]) : CASE_SEEDS;
  static const char *const judges[] = { "cusum", "mixture", "threshold" };
  cs_ctx_t *ctx = cs_ctx_new (NULL, cs_clock_system (), 1);
  puts ("judge\tkind\tcases\ttaken_back\tfinished\texposed_percent");
  for (size_t j = 0; j < G_N_ELEMENTS (judges); j++)
    {
      tally_t good = { 0 }, bad = { 0 };
      const void *vtable;
      cs_plugin_find (ctx, CS_PLUGIN_JUDGE, judges[j], &vtable);
      for (size_t k = 0; k < G_N_ELEMENTS (kinds); k++)
        {
          tally_t t = { 0 };
          tally_t *sum = kinds[k].bad ? &bad : &good;
          for (guint32 seed = 1; seed <= seeds; seed++)
            run_move (ctx, vtable, 0.01, &kinds[k], seed * 7919 + (guint)k,
                      &t);
          printf ("%s\t%s\t%d\t%d\t%d\t%.2f\n", judges[j], kinds[k].name,
                  t.cases, t.taken_back, t.finished,
                  100.0 * t.exposed / t.calls);
          sum->cases += t.cases;
          sum->taken_back += t.taken_back;
          sum->finished += t.finished;
          sum->calls += t.calls;
          sum->exposed += t.exposed;
        }
      printf ("%s\tall-bad\t%d\t%d\t%d\t%.2f\n", judges[j], bad.cases,
              bad.taken_back, bad.finished, 100.0 * bad.exposed / bad.calls);
      printf ("%s\tall-good\t%d\t%d\t%d\t0.00\n", judges[j], good.cases,
              good.taken_back, good.finished);
    }
  cs_ctx_drop (ctx);
  return 0;
}
