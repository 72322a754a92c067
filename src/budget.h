/* Divides the state service's limit on the write rate among the nodes while some of them have more
 * to write than their base share allows. No I/O and no global state. */
#pragma once
#include <glib.h>

/**
 * kr_budget_allot:
 * @base: base share of each node, in writes per second
 * @backlog: number of writes queued on each node; negative: unknown
 * @nodes: number of nodes
 * @allotted: (out): writes per second that each node may make
 *
 * A node with little to write lends at most half of its base share (KR_BUDGET_KEEP_SHARE) to nodes
 * whose backlog they cannot write within KR_BUDGET_BACKLOG_S, in proportion to their backlogs. A
 * node whose backlog is unknown keeps its base share, since it may be unreachable and not learn of
 * a change. The sum of the allotted rates never exceeds the sum of the base shares.
 *
 * Returns: whether any rate differs from the base share
 */
gboolean kr_budget_allot (const double *base, const double *backlog, guint nodes, double *allotted);
