#include "budget.h"
#include "constants.h"

/* Returns the write rate that a node keeps of its base share: as much as it needs to write its
 * backlog within one second, but not less than KR_BUDGET_KEEP_SHARE of the base share. */
static double
kept_rate (double base, double backlog)
{
  return backlog < 0 ? base : CLAMP (backlog, base * KR_BUDGET_KEEP_SHARE, base);
}

/* Returns the part of a node's backlog that entitles it to a higher rate. A burst that passes by
 * itself within KR_BUDGET_BACKLOG_S does not count: other nodes should not answer their users more
 * slowly because of it. */
static double
excess_backlog (double base, double backlog)
{
  return backlog > base * KR_BUDGET_BACKLOG_S ? backlog - base : 0;
}

gboolean
kr_budget_allot (const double *base, const double *backlog, guint nodes, double *allotted)
{
  double total_lent = 0, total_excess = 0;
  for (guint i = 0; i < nodes; i++) {
    total_lent += base[i] - kept_rate (base[i], backlog[i]);
    total_excess += excess_backlog (base[i], backlog[i]);
  }
  gboolean redistributes = total_lent > 0 && total_excess > 0;
  for (guint i = 0; i < nodes; i++)
    allotted[i] = redistributes
                      ? kept_rate (base[i], backlog[i]) +
                            total_lent * excess_backlog (base[i], backlog[i]) / total_excess
                      : base[i];
  return redistributes;
}
