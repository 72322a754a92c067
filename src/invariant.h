/* Invariants that keep the rules of the protocol, asserted where an action leaves the process. One
 * that does not hold is logged at `error` with what it was judged on, and counted; the action is
 * refused by the caller. Tests abort there, since GLib's test framework makes such messages fatal.
 */
#pragma once
#include <glib.h>

typedef enum {
  KR_INVARIANT_ONE_RECORD,    /* a machine stands in one part's record at most */
  KR_INVARIANT_RECORD_KEPT,   /* a machine with tasks does not leave its part's record */
  KR_INVARIANT_ONE_ATTEMPT,   /* of a task, one launch at most may be on a machine */
  KR_INVARIANT_MACHINE_READY, /* a task starts only where it may */
  KR_INVARIANT_JOB_NOT_ENDED, /* nothing of a job that has ended starts */
  KR_N_INVARIANTS
} KrInvariant;

/* Notes that `which` does not hold; `format`: what that was judged on. */
void kr_invariant_violated (KrInvariant which, const char *format, ...) G_GNUC_PRINTF (2, 3);
/* How often one did not hold since the process began. */
guint kr_invariant_violations (void);
