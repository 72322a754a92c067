/* When a machine's reports may be relied on and what they prove, and the stored form and counts of
 * jobs. */
#include "machine.h"
#include "constants.h"
#include <math.h>
#include <string.h>

static guint attempts_gone, attempts_discovered, attempts_exited;

static void
on_attempt_event (KrMachine *machine, KrAttempt *attempt, KrAttemptEvent event, gpointer data)
{
  attempts_gone += event == KR_ATTEMPT_GONE;
  attempts_discovered += event == KR_ATTEMPT_DISCOVERED;
  attempts_exited += event == KR_ATTEMPT_EXITED;
}

static KrReportFreshness
apply_report (KrMachine *machine, guint64 session, guint64 seq, gboolean from_worker, guint tasks,
              KrTaskState state)
{
  KrReport report = { .machine = machine->id,
                      .endpoint = (char *) "e",
                      .type = (char *) "t",
                      .zone = (char *) "z",
                      .session = session,
                      .seq = seq,
                      .token = 7,
                      .reclaim_notice_s = NAN };
  report.tasks = g_array_new (FALSE, TRUE, sizeof (KrTaskReport));
  for (guint i = 0; i < tasks; i++) {
    KrTaskReport task = { (char *) "wk-1", i, 100 + i, state, KR_EXIT_DONE };
    g_array_append_val (report.tasks, task);
  }
  KrReportFreshness freshness =
      kr_machine_apply_report (machine, &report, from_worker, 7, 1000000, on_attempt_event, NULL);
  g_array_unref (report.tasks);
  return freshness;
}

static KrMachine *
machine_new (void)
{
  attempts_gone = attempts_discovered = attempts_exited = 0;
  return kr_machine_new ("host-000001");
}

/* A response to /commands can be newer than the report whose response carried the `run` order, but
 * older than the arrival of that order. So only the next report shows whether the attempt arrived;
 * until then it must not count as gone. */
static void
test_unconfirmed_attempt (void)
{
  KrMachine *machine = machine_new ();
  apply_report (machine, 1, 5, TRUE, 0, 0);
  kr_machine_add_attempt (machine, "wk-1", 0, 100)->sent_after_seq = 5;
  apply_report (machine, 1, 6, FALSE, 0, 0);
  g_assert_cmpuint (attempts_gone, ==, 0);
  g_assert_cmpuint (kr_machine_count_unfinished (machine), ==, 1);
  apply_report (machine, 1, 7, TRUE, 0, 0);
  g_assert_cmpuint (attempts_gone, ==, 1);
  kr_machine_free (machine);
}

/* A report that was delayed in the network must not undo what a newer report has shown. */
static void
test_stale_report (void)
{
  KrMachine *machine = machine_new ();
  g_assert_cmpint (apply_report (machine, 1, 5, TRUE, 2, KR_TASK_RUNNING), ==, KR_REPORT_FRESH);
  g_assert_cmpint (apply_report (machine, 1, 4, TRUE, 0, 0), ==, KR_REPORT_STALE);
  g_assert_cmpint (apply_report (machine, 1, 5, TRUE, 0, 0), ==, KR_REPORT_STALE);
  g_assert_cmpuint (attempts_gone, ==, 0);
  /* A new session: the worker's lease had expired, so its tasks are gone. */
  g_assert_cmpint (apply_report (machine, 2, 1, TRUE, 0, 0), ==, KR_REPORT_FRESH);
  g_assert_cmpuint (attempts_gone, ==, 2);
  g_assert_cmpint (apply_report (machine, 1, 9, TRUE, 2, KR_TASK_RUNNING), ==, KR_REPORT_STALE);
  g_assert_cmpuint (kr_machine_count_unfinished (machine), ==, 0);
  kr_machine_free (machine);
}

/* A report that was overtaken by the response to a command is distinguished from a duplicate: its
 * worker waits for the response to it and counts its lease from that response. */
static void
test_overtaken_report (void)
{
  KrMachine *machine = machine_new ();
  g_assert_cmpint (apply_report (machine, 1, 5, TRUE, 2, KR_TASK_RUNNING), ==, KR_REPORT_FRESH);
  g_assert_cmpint (apply_report (machine, 1, 7, FALSE, 1, KR_TASK_RUNNING), ==, KR_REPORT_FRESH);
  g_assert_cmpuint (attempts_gone, ==, 1);
  /* The response to a command, for which no worker waits. */
  g_assert_cmpint (apply_report (machine, 1, 6, FALSE, 0, 0), ==, KR_REPORT_STALE);
  g_assert_cmpint (apply_report (machine, 1, 6, TRUE, 0, 0), ==, KR_REPORT_OVERTAKEN);
  g_assert_cmpuint (attempts_gone, ==, 1);
  g_assert_cmpint (apply_report (machine, 1, 6, TRUE, 0, 0), ==, KR_REPORT_STALE);
  g_assert_cmpint (apply_report (machine, 1, 5, TRUE, 2, KR_TASK_RUNNING), ==, KR_REPORT_STALE);
  /* Sequence numbers of an earlier session are not compared with those of this one. */
  g_assert_cmpint (apply_report (machine, 2, 4, FALSE, 0, 0), ==, KR_REPORT_FRESH);
  g_assert_cmpint (apply_report (machine, 2, 3, TRUE, 0, 0), ==, KR_REPORT_OVERTAKEN);
  kr_machine_free (machine);
}

/* A task that is reported as exited twice is one new attempt with one exit. */
static void
test_exit_reported_once (void)
{
  KrMachine *machine = machine_new ();
  apply_report (machine, 1, 1, TRUE, 1, KR_TASK_EXITED);
  apply_report (machine, 1, 2, TRUE, 1, KR_TASK_EXITED);
  g_assert_cmpuint (attempts_discovered, ==, 1);
  g_assert_cmpuint (attempts_exited, ==, 1);
  kr_machine_free (machine);
}

/* The lease counts as expired only when it must have expired by the worker's own clock as well. */
static void
test_lease_expiry (void)
{
  KrMachine *machine = machine_new ();
  /* Fenced by a command, and no report afterwards. */
  apply_report (machine, 1, 1, FALSE, 1, KR_TASK_RUNNING);
  g_assert_cmpint (machine->lease_renewed_at, >, 0);
  g_assert_true (
      kr_machine_lease_expired (machine, machine->lease_renewed_at + kr_seconds_to_us (14), 12));
  machine->lease_renewed_at = 10 * G_USEC_PER_SEC;
  g_assert_false (
      kr_machine_lease_expired (machine, machine->lease_renewed_at + kr_seconds_to_us (12), 12));
  g_assert_true (
      kr_machine_lease_expired (machine, machine->lease_renewed_at + kr_seconds_to_us (14), 12));
  kr_machine_free (machine);
}

/* A machine may report to this node, then again to an earlier owner, which could still answer it,
 * and only then see this node's token. So its lease may have been renewed as late as that. */
static void
test_lease_at_fence (void)
{
  KrMachine *machine = machine_new ();
  machine->lease_renewed_at = 100;
  apply_report (machine, 1, 1, FALSE, 1, KR_TASK_RUNNING);
  g_assert_cmpint (machine->lease_renewed_at, ==, 1000000);
  machine->lease_renewed_at = 100; /* fenced before: the response to a command renews no lease */
  apply_report (machine, 1, 2, FALSE, 1, KR_TASK_RUNNING);
  g_assert_cmpint (machine->lease_renewed_at, ==, 100);
  kr_machine_free (machine);
}

static KrJobSpec *
job_spec (guint tasks)
{
  KrJobSpec *spec = g_new0 (KrJobSpec, 1);
  spec->id = g_strdup ("wk-1");
  spec->job_class = g_strdup ("l");
  spec->team = g_strdup ("t");
  spec->image = g_strdup ("img");
  spec->tasks = tasks;
  spec->cpus = 1;
  spec->deadline_s = NAN;
  return spec;
}

/* Compares done sets with an array of flags, after encoding and decoding with all chunks. */
static void
test_done_set (void)
{
  const guint sizes[] = { 1, 7, 8, 9, 351, KR_DONE_CHUNK_BITS, KR_DONE_CHUNK_BITS + 1, 100000 };
  for (guint size_index = 0; size_index < G_N_ELEMENTS (sizes); size_index++) {
    guint task_count = sizes[size_index], count = 0;
    g_autoptr (KrJob) job = kr_job_new (job_spec (task_count), 1, 2);
    g_autofree gboolean *expected_done = g_new0 (gboolean, task_count);
    for (guint i = 0; i < task_count; i += 1 + g_test_rand_int_range (0, 5)) {
      expected_done[i] = TRUE;
      count++;
      kr_job_set_done (job, i);
      kr_job_set_done (job, i);
    }
    json_t *value = kr_job_encode (job, job->done, 0);
    char *encoded = json_dumps (value, JSON_COMPACT);
    /* The settings allow limits of stored values down to 7 KiB. */
    g_assert_cmpuint (strlen (encoded), <, 7 * 1024);
    free (encoded);
    g_autoptr (KrJob) decoded = kr_job_decode (value, 9);
    g_assert_cmpuint (decoded->chunks_missing, ==, kr_job_chunk_count (job) - 1);
    for (guint chunk = 1; chunk < kr_job_chunk_count (job); chunk++) {
      json_t *chunk_value = kr_job_chunk_encode (job, job->done, chunk);
      kr_job_chunk_merge (decoded, chunk, chunk_value);
      json_decref (chunk_value);
    }
    g_assert_cmpuint (decoded->n_done, ==, count);
    for (guint i = 0; i < task_count; i++) {
      g_assert_cmpint (kr_job_is_done (decoded, i), ==, expected_done[i]);
      g_assert_cmpint (kr_job_is_persisted (decoded, i), ==, expected_done[i]);
    }
    gint64 next_task = kr_job_next_task (decoded);
    g_assert_true (next_task < 0 ? count == task_count : !expected_done[next_task]);
    json_decref (value);
  }
}

/* Compares the counts of active and done tasks with a simple model after random steps. */
static void
test_job_counts (void)
{
  g_autoptr (KrJob) job = kr_job_new (job_spec (30), 1, 0);
  guint active[30] = { 0 };
  gboolean done[30] = { FALSE };
  for (guint step = 0; step < 5000; step++) {
    guint task = (guint) g_test_rand_int_range (0, 30), unstarted = 0;
    gint64 expected_next = -1;
    switch (g_test_rand_int_range (0, 8)) {
    case 0:
      kr_job_set_done (job, task);
      done[task] = TRUE;
      break;
    case 1:
    case 2:
      if (active[task] == 0 && !done[task]) {
        kr_job_add_active (job, task);
        active[task]++;
      }
      break;
    default:
      kr_job_remove_active (job, task);
      active[task] -= active[task] > 0;
    }
    guint done_and_active = 0;
    for (guint i = 30; i-- > 0;) {
      if (!active[i] && !done[i]) {
        unstarted++;
        expected_next = i;
      }
      done_and_active += active[i] && done[i];
    }
    g_assert_cmpint (kr_job_next_task (job), ==, expected_next);
    g_assert_cmpuint (kr_job_unstarted (job), <=, unstarted);
    g_assert_cmpuint (kr_job_unstarted (job) + done_and_active, >=, unstarted);
    if (step % 400 == 399) { /* reset the job and the model */
      for (guint i = 0; i < 30; i++)
        while (active[i]) {
          kr_job_remove_active (job, i);
          active[i]--;
        }
      memset (job->done, 0, kr_job_bitmap_bytes (job));
      memset (done, 0, sizeof done);
      job->n_done = job->cursor = 0;
    }
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/machine/unconfirmed-attempt", test_unconfirmed_attempt);
  g_test_add_func ("/machine/stale-report", test_stale_report);
  g_test_add_func ("/machine/overtaken-report", test_overtaken_report);
  g_test_add_func ("/machine/exit-reported-once", test_exit_reported_once);
  g_test_add_func ("/machine/lease-expiry", test_lease_expiry);
  g_test_add_func ("/machine/lease-at-fence", test_lease_at_fence);
  g_test_add_func ("/job/done-set", test_done_set);
  g_test_add_func ("/job/counts", test_job_counts);
  return g_test_run ();
}
