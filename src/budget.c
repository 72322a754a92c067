#include "budget.h"
#include "constants.h"

/* What a node needs of its fixed part for now. */
static double
needed (double base, double backlog)
{
  return backlog < 0 ? base : CLAMP (backlog, base * KR_BUDGET_KEEP_SHARE, base);
}

/* What does not pass by itself within a few seconds: a burst of that length is nobody's to pay for
 * with slower answers to users. */
static double
beyond (double base, double backlog)
{
  return backlog > base * KR_BUDGET_BACKLOG_S ? backlog - base : 0;
}

gboolean
kr_budget_allot (const double *base, const double *backlog, guint nodes, double *allotted)
{
  double lent = 0, wanted = 0;
  for (guint i = 0; i < nodes; i++) {
    lent += base[i] - needed (base[i], backlog[i]);
    wanted += beyond (base[i], backlog[i]);
  }
  gboolean changes = lent > 0 && wanted > 0;
  for (guint i = 0; i < nodes; i++)
    allotted[i] = changes
                      ? needed (base[i], backlog[i]) + lent * beyond (base[i], backlog[i]) / wanted
                      : base[i];
  return changes;
}
