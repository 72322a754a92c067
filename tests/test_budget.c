/* The shares of the state service's changes, on random inputs; GTest prints the seed. */
#include "budget.h"
#include "constants.h"

#define NODES 7

static gboolean
is_late (double base, double backlog)
{
  return backlog > base * KR_BUDGET_BACKLOG_S;
}

static void
test_allot (void)
{
  guint changed = 0;
  for (guint round = 0; round < 2000; round++) {
    double base[NODES], backlog[NODES], allotted[NODES], all = 0, given = 0;
    for (guint i = 0; i < NODES; i++) {
      base[i] = g_test_rand_double_range (0.1, 10);
      backlog[i] = g_test_rand_bit () ? g_test_rand_double_range (-1, 40) : 0;
    }
    gboolean some_late = FALSE, changes = kr_budget_allot (base, backlog, NODES, allotted);
    changed += changes;
    for (guint i = 0; i < NODES; i++) {
      all += base[i];
      given += allotted[i];
      g_assert_cmpfloat (allotted[i], >=, base[i] / 2 - 1e-9);
      if (backlog[i] < 0 || !changes)
        g_assert_cmpfloat_with_epsilon (allotted[i], base[i], 1e-9);
      if (backlog[i] > base[i])
        g_assert_cmpfloat (allotted[i], >=, base[i] - 1e-9);
      /* Of two that want more, who has more waiting gets more beside its fixed part. */
      for (guint k = 0; changes && k < NODES; k++)
        if (is_late (base[i], backlog[i]) && is_late (base[k], backlog[k]) &&
            backlog[i] - base[i] > backlog[k] - base[k])
          g_assert_cmpfloat (allotted[i] - base[i], >=, allotted[k] - base[k] - 1e-9);
      /* Who would be done soon gets nothing beside it, and lends nothing that it needs. */
      if (!is_late (base[i], backlog[i]))
        g_assert_cmpfloat (allotted[i], <=, base[i] + 1e-9);
      some_late |= is_late (base[i], backlog[i]);
    }
    g_assert_cmpfloat_with_epsilon (given, all, 1e-6);
    g_assert_true (some_late || !changes);
  }
  g_assert_cmpuint (changed, >, 100);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/budget/allot", test_allot);
  return g_test_run ();
}
