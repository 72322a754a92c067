/* What may be believed of a machine's reports, and when; and the durable form of jobs. */
#include "machine.h"
#include "constants.h"
#include <math.h>
#include <string.h>

static guint gone, news, exits;

static void
saw (KrMachine *b, KrAttempt *l, KrAttemptEvent what, gpointer data)
{
  gone += what == KR_ATTEMPT_GONE;
  news += what == KR_ATTEMPT_DISCOVERED;
  exits += what == KR_ATTEMPT_EXITED;
}

static KrReportFreshness
take (KrMachine *b, guint64 session, guint64 seq, gboolean beat, guint tasks, KrTaskState state)
{
  KrReport r = { .machine = b->id,
                 .endpoint = (char *) "e",
                 .type = (char *) "t",
                 .zone = (char *) "z",
                 .session = session,
                 .seq = seq,
                 .token = 7,
                 .reclaim_notice_s = NAN };
  r.tasks = g_array_new (FALSE, TRUE, sizeof (KrTaskReport));
  for (guint i = 0; i < tasks; i++) {
    KrTaskReport t = { (char *) "wk-1", i, 100 + i, state, KR_EXIT_DONE };
    g_array_append_val (r.tasks, t);
  }
  KrReportFreshness taken = kr_machine_apply_report (b, &r, beat, 7, 1000000, saw, NULL);
  g_array_unref (r.tasks);
  return taken;
}

static KrMachine *
fresh (void)
{
  gone = news = exits = 0;
  return kr_machine_new ("host-000001");
}

/* An answer of /commands may be newer than the report that was answered with `run`, and yet older
 * than the run itself: only the next report settles it. */
static void
test_doubt (void)
{
  KrMachine *b = fresh ();
  take (b, 1, 5, TRUE, 0, 0);
  kr_machine_add_attempt (b, "wk-1", 0, 100)->sent_after_seq = 5;
  take (b, 1, 6, FALSE, 0, 0);
  g_assert_cmpuint (gone, ==, 0);
  g_assert_cmpuint (kr_machine_count_unfinished (b), ==, 1);
  take (b, 1, 7, TRUE, 0, 0);
  g_assert_cmpuint (gone, ==, 1);
  kr_machine_free (b);
}

/* A report that a cut held back must not undo what a newer one said. */
static void
test_stale (void)
{
  KrMachine *b = fresh ();
  g_assert_cmpint (take (b, 1, 5, TRUE, 2, KR_TASK_RUNNING), ==, KR_REPORT_FRESH);
  g_assert_cmpint (take (b, 1, 4, TRUE, 0, 0), ==, KR_REPORT_STALE);
  g_assert_cmpint (take (b, 1, 5, TRUE, 0, 0), ==, KR_REPORT_STALE);
  g_assert_cmpuint (gone, ==, 0);
  /* A new session: its lease ran out. */
  g_assert_cmpint (take (b, 2, 1, TRUE, 0, 0), ==, KR_REPORT_FRESH);
  g_assert_cmpuint (gone, ==, 2);
  g_assert_cmpint (take (b, 1, 9, TRUE, 2, KR_TASK_RUNNING), ==, KR_REPORT_STALE);
  g_assert_cmpuint (kr_machine_count_unfinished (b), ==, 0);
  kr_machine_free (b);
}

/* A report that a command's answer overtook is told from a copy: its worker waits for the answer,
 * and counts its lease from it. */
static void
test_overtaken (void)
{
  KrMachine *b = fresh ();
  g_assert_cmpint (take (b, 1, 5, TRUE, 2, KR_TASK_RUNNING), ==, KR_REPORT_FRESH);
  g_assert_cmpint (take (b, 1, 7, FALSE, 1, KR_TASK_RUNNING), ==, KR_REPORT_FRESH);
  g_assert_cmpuint (gone, ==, 1);
  g_assert_cmpint (take (b, 1, 6, FALSE, 0, 0), ==, KR_REPORT_STALE); /* no worker waits for that */
  g_assert_cmpint (take (b, 1, 6, TRUE, 0, 0), ==, KR_REPORT_OVERTAKEN);
  g_assert_cmpuint (gone, ==, 1);
  g_assert_cmpint (take (b, 1, 6, TRUE, 0, 0), ==, KR_REPORT_STALE);
  g_assert_cmpint (take (b, 1, 5, TRUE, 2, KR_TASK_RUNNING), ==, KR_REPORT_STALE);
  /* The numbers of an earlier session say nothing about this one's. */
  g_assert_cmpint (take (b, 2, 4, FALSE, 0, 0), ==, KR_REPORT_FRESH);
  g_assert_cmpint (take (b, 2, 3, TRUE, 0, 0), ==, KR_REPORT_OVERTAKEN);
  kr_machine_free (b);
}

static void
test_exits_once (void)
{
  KrMachine *b = fresh ();
  take (b, 1, 1, TRUE, 1, KR_TASK_EXITED);
  take (b, 1, 2, TRUE, 1, KR_TASK_EXITED);
  g_assert_cmpuint (news, ==, 1);
  g_assert_cmpuint (exits, ==, 1);
  kr_machine_free (b);
}

/* Not a moment before the worker's own clock must have passed its lease. */
static void
test_lease (void)
{
  KrMachine *b = fresh ();
  take (b, 1, 1, FALSE, 1, KR_TASK_RUNNING); /* fenced by a command, never heard of again */
  g_assert_cmpint (b->lease_renewed_at, >, 0);
  g_assert_true (kr_machine_lease_expired (b, b->lease_renewed_at + kr_seconds_to_us (14), 12));
  b->lease_renewed_at = 10 * G_USEC_PER_SEC;
  g_assert_false (kr_machine_lease_expired (b, b->lease_renewed_at + kr_seconds_to_us (12), 12));
  g_assert_true (kr_machine_lease_expired (b, b->lease_renewed_at + kr_seconds_to_us (14), 12));
  kr_machine_free (b);
}

/* It reported to us, then again to an earlier owner, which still could answer it, and only then saw
 * our token: its lease may be as young as that. */
static void
test_lease_at_fence (void)
{
  KrMachine *b = fresh ();
  b->lease_renewed_at = 100;
  take (b, 1, 1, FALSE, 1, KR_TASK_RUNNING);
  g_assert_cmpint (b->lease_renewed_at, ==, 1000000);
  b->lease_renewed_at = 100; /* fenced already: a command's answer renews nothing */
  take (b, 1, 2, FALSE, 1, KR_TASK_RUNNING);
  g_assert_cmpint (b->lease_renewed_at, ==, 100);
  kr_machine_free (b);
}

static KrJobSpec *
spec (guint tasks)
{
  KrJobSpec *s = g_new0 (KrJobSpec, 1);
  s->id = g_strdup ("wk-1");
  s->job_class = g_strdup ("l");
  s->team = g_strdup ("t");
  s->image = g_strdup ("img");
  s->tasks = tasks;
  s->cpus = 1;
  s->deadline_s = NAN;
  return s;
}

/* Done sets against a plain one, through the durable form, chunks included. */
static void
test_done_set (void)
{
  const guint sizes[] = { 1, 7, 8, 9, 351, KR_DONE_CHUNK_BITS, KR_DONE_CHUNK_BITS + 1, 100000 };
  for (guint k = 0; k < G_N_ELEMENTS (sizes); k++) {
    guint n = sizes[k], count = 0;
    g_autoptr (KrJob) j = kr_job_new (spec (n), 1, 2);
    g_autofree gboolean *plain = g_new0 (gboolean, n);
    for (guint i = 0; i < n; i += 1 + g_test_rand_int_range (0, 5)) {
      plain[i] = TRUE;
      count++;
      kr_job_set_done (j, i);
      kr_job_set_done (j, i);
    }
    json_t *v = kr_job_encode (j, j->done, 0);
    char *text = json_dumps (v, JSON_COMPACT);
    g_assert_cmpuint (strlen (text), <,
                      7 * 1024); /* the smallest value limit that settings allow */
    free (text);
    g_autoptr (KrJob) back = kr_job_decode (v, 9);
    g_assert_cmpuint (back->chunks_missing, ==, kr_job_chunk_count (j) - 1);
    for (guint c = 1; c < kr_job_chunk_count (j); c++) {
      json_t *t = kr_job_chunk_encode (j, j->done, c);
      kr_job_chunk_merge (back, c, t);
      json_decref (t);
    }
    g_assert_cmpuint (back->n_done, ==, count);
    for (guint i = 0; i < n; i++) {
      g_assert_cmpint (kr_job_is_done (back, i), ==, plain[i]);
      g_assert_cmpint (kr_job_is_persisted (back, i), ==, plain[i]);
    }
    gint64 next = kr_job_next_task (back);
    g_assert_true (next < 0 ? count == n : !plain[next]);
    json_decref (v);
  }
}

/* Active and done counts against a plain model, under random steps. */
static void
test_job_counts (void)
{
  g_autoptr (KrJob) j = kr_job_new (spec (30), 1, 0);
  guint active[30] = { 0 };
  gboolean done[30] = { FALSE };
  for (guint step = 0; step < 5000; step++) {
    guint t = (guint) g_test_rand_int_range (0, 30), unstarted = 0;
    gint64 first = -1;
    switch (g_test_rand_int_range (0, 8)) {
    case 0:
      kr_job_set_done (j, t);
      done[t] = TRUE;
      break;
    case 1:
    case 2:
      if (active[t] == 0 && !done[t]) {
        kr_job_add_active (j, t);
        active[t]++;
      }
      break;
    default:
      kr_job_remove_active (j, t);
      active[t] -= active[t] > 0;
    }
    guint both = 0;
    for (guint i = 30; i-- > 0;) {
      if (!active[i] && !done[i]) {
        unstarted++;
        first = i;
      }
      both += active[i] && done[i];
    }
    g_assert_cmpint (kr_job_next_task (j), ==, first);
    g_assert_cmpuint (kr_job_unstarted (j), <=, unstarted);
    g_assert_cmpuint (kr_job_unstarted (j) + both, >=, unstarted);
    if (step % 400 == 399) { /* begin anew */
      for (guint i = 0; i < 30; i++)
        while (active[i]) {
          kr_job_remove_active (j, i);
          active[i]--;
        }
      memset (j->done, 0, kr_job_bitmap_bytes (j));
      memset (done, 0, sizeof done);
      j->n_done = j->cursor = 0;
    }
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/agent/doubt", test_doubt);
  g_test_add_func ("/agent/stale", test_stale);
  g_test_add_func ("/agent/overtaken", test_overtaken);
  g_test_add_func ("/agent/exits-once", test_exits_once);
  g_test_add_func ("/agent/lease", test_lease);
  g_test_add_func ("/agent/lease-at-fence", test_lease_at_fence);
  g_test_add_func ("/ledger/done-set", test_done_set);
  g_test_add_func ("/ledger/counts", test_job_counts);
  return g_test_run ();
}
