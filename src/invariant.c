#include "invariant.h"

static guint violations[KR_N_INVARIANTS];

static const char *const names[] = {
  [KR_INVARIANT_ONE_RECORD] = "one-record",       [KR_INVARIANT_RECORD_KEPT] = "record-kept",
  [KR_INVARIANT_ONE_ATTEMPT] = "one-attempt",     [KR_INVARIANT_MACHINE_READY] = "machine-ready",
  [KR_INVARIANT_JOB_NOT_ENDED] = "job-not-ended", [KR_INVARIANT_POLLS_SERVED] = "polls-served",
  [KR_INVARIANT_DEMAND_ASKED] = "demand-asked"
};

void
kr_invariant_violated (KrInvariant which, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *details = g_strdup_vprintf (format, args);
  va_end (args);
  violations[which]++;
  g_critical ("invariant %s does not hold (%u): %s", names[which], violations[which], details);
}

guint
kr_invariant_violations (void)
{
  guint sum = 0;
  for (guint i = 0; i < KR_N_INVARIANTS; i++)
    sum += violations[i];
  return sum;
}
