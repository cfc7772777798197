/* Compares the judges on the same simulated moves.  The argument is the number
   of moves to each kind of version.  Prints one line per judge and kind.  */
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
      for (size_t k = 0; k < G_N_ELEMENTS (version_kinds); k++)
        {
          tally_t tally = { 0 };
          tally_t *sum = version_kinds[k].bad ? &bad : &good;
          for (guint32 seed = 1; seed <= seeds; seed++)
            run_move (ctx, vtable, 0.01, &version_kinds[k],
                      seed * 7919 + (guint)k, &tally);
          printf ("%s\t%s\t%d\t%d\t%d\t%.2f\n", judges[j],
                  version_kinds[k].name, tally.cases, tally.rolled_back,
                  tally.finished, 100.0 * tally.exposed / tally.calls);
          sum->cases += tally.cases;
          sum->rolled_back += tally.rolled_back;
          sum->finished += tally.finished;
          sum->calls += tally.calls;
          sum->exposed += tally.exposed;
        }
      printf ("%s\tall-bad\t%d\t%d\t%d\t%.2f\n", judges[j], bad.cases,
              bad.rolled_back, bad.finished, 100.0 * bad.exposed / bad.calls);
      printf ("%s\tall-good\t%d\t%d\t%d\t0.00\n", judges[j], good.cases,
              good.rolled_back, good.finished);
    }
  cs_ctx_drop (ctx);
  return 0;
}
