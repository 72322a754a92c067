/* How the state service's limit on changes is shared among the nodes while some of them have more
 * to write than their fixed part allows. Pure. */
#pragma once
#include <glib.h>

/**
 * kr_budget_allot:
 * @base: changes a second of each node's fixed part
 * @backlog: changes that wait at each node; negative: not known
 * @nodes: how many nodes
 * @allotted: (out): changes a second that each node may make
 *
 * A node with little to write lends at most half of its part to those where more waits than they
 * can write within some seconds, in proportion to that. Where the backlog is not known, nothing is
 * lent or given: that node may not hear of it. The sum is never larger than that of the fixed
 * parts.
 *
 * Returns: whether any part differs from the fixed one
 */
gboolean kr_budget_allot (const double *base, const double *backlog, guint nodes, double *allotted);
