/* Invariants of the protocol, checked before an action leaves the process, e.g. as an order. A
 * violation is logged at level `error` with the values on which the verdict is based, and counted;
 * the caller refuses the action. Tests abort on a violation, since GLib's test framework makes such
 * messages fatal. */
#pragma once
#include <glib.h>

typedef enum {
  KR_INVARIANT_ONE_RECORD,    /* a machine is in the records of at most one shard */
  KR_INVARIANT_RECORD_KEPT,   /* a machine with tasks is not removed from its shard's record */
  KR_INVARIANT_ONE_ATTEMPT,   /* at most one attempt of a task may be on a machine */
  KR_INVARIANT_MACHINE_READY, /* a task is started only on a machine that is ready for tasks */
  KR_INVARIANT_JOB_NOT_ENDED, /* no task of a job that has ended is started */
  KR_INVARIANT_POLLS_SERVED,  /* while the state service answers, polls get served */
  KR_INVARIANT_DEMAND_ASKED,  /* no demand is unmet while a pool that may serve it is not asked */
  KR_N_INVARIANTS
} KrInvariant;

/* Logs and counts a violation of `which`; `format`: the values on which the verdict is based. */
void kr_invariant_violated (KrInvariant which, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* Returns the number of violations since the process started. */
guint kr_invariant_violations (void);
