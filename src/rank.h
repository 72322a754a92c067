/* The order in which jobs get free room: services are held at size before all; late jobs first,
 * evened out by expected completion against goals; then jobs without data, oldest first; then by
 * slots needed. Pure. */
#pragma once
#include "estimate.h"

typedef enum { KR_CLASS_HELD, KR_CLASS_LATE, KR_CLASS_NODATA, KR_CLASS_ADJUST } KrClass;

typedef struct {
  KrClass klass;
  double key;     /* larger goes first within a class */
  const char *id; /* tie-break: any, but always the same */
} KrRankKey;

KrRankKey kr_rank_key (const KrEstimateInput *input, const char *id);
/* Negative: a goes first. */
int kr_rank_compare (const KrRankKey *a, const KrRankKey *b);
/* Slots that the min variant wants beyond those running: all unstarted tasks for jobs late or
 * without data, else slots needed, rounded up, floored at zero (at one if nothing runs), at most
 * the unstarted. */
double kr_rank_want (const KrEstimateInput *input);
