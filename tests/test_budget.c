/* How the state service's write limit is shared among the nodes, on random inputs; GTest prints the
 * seed. */
#include "budget.h"
#include "constants.h"

#define NODES 7

static gboolean
has_long_backlog (double base, double backlog)
{
  return backlog > base * KR_BUDGET_BACKLOG_S;
}

static void
test_allot (void)
{
  guint adjusted_rounds = 0;
  for (guint round = 0; round < 2000; round++) {
    double base[NODES], backlog[NODES], allotted[NODES], base_total = 0, allotted_total = 0;
    for (guint i = 0; i < NODES; i++) {
      base[i] = g_test_rand_double_range (0.1, 10);
      backlog[i] = g_test_rand_bit () ? g_test_rand_double_range (-1, 40) : 0;
    }
    gboolean any_long_backlog = FALSE, adjusted = kr_budget_allot (base, backlog, NODES, allotted);
    adjusted_rounds += adjusted;
    for (guint i = 0; i < NODES; i++) {
      base_total += base[i];
      allotted_total += allotted[i];
      g_assert_cmpfloat (allotted[i], >=, base[i] / 2 - 1e-9);
      if (backlog[i] < 0 || !adjusted)
        g_assert_cmpfloat_with_epsilon (allotted[i], base[i], 1e-9);
      if (backlog[i] > base[i])
        g_assert_cmpfloat (allotted[i], >=, base[i] - 1e-9);
      /* Of two nodes with a long backlog, the one with more beyond its base rate gets no less on
       * top of that rate. */
      for (guint other = 0; adjusted && other < NODES; other++)
        if (has_long_backlog (base[i], backlog[i]) &&
            has_long_backlog (base[other], backlog[other]) &&
            backlog[i] - base[i] > backlog[other] - base[other])
          g_assert_cmpfloat (allotted[i] - base[i], >=, allotted[other] - base[other] - 1e-9);
      /* A node that will have written its backlog soon gets nothing on top of its base rate, and
       * lends nothing that it needs. */
      if (!has_long_backlog (base[i], backlog[i]))
        g_assert_cmpfloat (allotted[i], <=, base[i] + 1e-9);
      any_long_backlog |= has_long_backlog (base[i], backlog[i]);
    }
    g_assert_cmpfloat_with_epsilon (allotted_total, base_total, 1e-6);
    g_assert_true (any_long_backlog || !adjusted);
  }
  g_assert_cmpuint (adjusted_rounds, >, 100);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/budget/allot", test_allot);
  return g_test_run ();
}
