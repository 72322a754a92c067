/* Jobs of very many very small tasks: the messages about them stay within the protocol's limits. */
#include "fixture.h"
#include "machine.h"
#include "placement.h"
#include <string.h>

/* Tasks of the job, of which a machine's CPUs and memory take all at once. */
#define TASKS 4000
#define TASK_CPUS 0.002
/* The largest number of tasks that a job may have. */
#define HUGE_TASKS 100000
/* Time in which jobs beside a huge one are done. */
#define OTHERS_DONE_WITHIN_S 60
/* Time in which the tasks are all done, a part at a time. */
#define DONE_WITHIN_S 200

static void
thousands_of_tasks (void)
{
  SimOptions options = default_options;
  options.zones = 4;
  start_cluster (&options);
  sim_submit ("wk-000001", "team0", "normal", 4, 1, 20, 600);
  sim_submit ("wk-000002", "team0", "normal", TASKS, TASK_CPUS, 4, 600);
  sim_run (30);
  for (guint node = 0; node < options.nodes; node++)
    g_assert_cmpuint (sim_request (node, "GET", "/ready", NULL), ==, 200);
  finish_and_check (DONE_WITHIN_S);
}

/* Guards against a response to a worker that is longer than a line may be, so that none of its
 * orders arrives and the job never starts. */
static void
test_thousands_of_tasks (void)
{
  with_seeds (thousands_of_tasks);
}

static void
thousands_are_cancelled (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", TASKS, TASK_CPUS, 1000, 600);
  sim_run (30);
  g_assert_cmpuint (sim_tasks_running (NULL), >, 0);
  crash_and_restart (0, 0.5);
  sim_run (1);
  sim_cancel_at ("wk-000001", 1);
  sim_run (default_options.cancel_s + 10);
  g_assert_cmpuint (sim_tasks_running (NULL), ==, 0);
  finish_and_check (100);
}

/* The same with the orders that stop the tasks, in responses and in direct commands, and with a new
 * owner that finds them. */
static void
test_thousands_are_cancelled (void)
{
  with_seeds (thousands_are_cancelled);
}

/* Guards against a huge job of tasks that need nothing, as submitted by mistake, of which one
 * response starts tasks without a bound, while the other jobs of its team and others wait. */
static void
test_tasks_without_needs (void)
{
  start_cluster (&default_options);
  sim_submit ("wk-000001", "team0", "normal", HUGE_TASKS, 0, 4, 600);
  sim_submit ("wk-000002", "team0", "normal", 32, 1, 4, 600);
  sim_submit ("wk-000003", "team1", "normal", 32, 1, 4, 600);
  sim_run (OTHERS_DONE_WITHIN_S);
  g_assert_cmpstr (sim_reported_state ("wk-000002"), ==, "done");
  g_assert_cmpstr (sim_reported_state ("wk-000003"), ==, "done");
  sim_cancel ("wk-000001");
  finish_and_check (100);
}

typedef gboolean (*OrderFunc) (KrOrders *orders, const char *job);

static gboolean
order_run (KrOrders *orders, const char *job)
{
  return kr_wire_order_run (orders, job, G_MAXUINT, G_MAXUINT64);
}

static gboolean
order_kill (KrOrders *orders, const char *job)
{
  return kr_wire_order_kill (orders, job, G_MAXUINT, G_MAXUINT64, -G_MAXDOUBLE);
}

static gboolean
order_clear (KrOrders *orders, const char *job)
{
  return kr_wire_order_clear (orders, job, G_MAXUINT, G_MAXUINT64);
}

/* Guards against orders that make a message longer than a line may be, whatever their values, and
 * against a limit that is far below that. */
static void
test_orders_fit_a_line (void)
{
  const OrderFunc functions[] = { order_run, order_kill, order_clear };
  g_autofree char *longest_id = g_strdup_printf ("wk-%0185d", 7);
  const char *const jobs[] = { "wk-000412", longest_id, "\x01\x02\x03\x04" };
  for (guint i = 0; i < G_N_ELEMENTS (functions); i++)
    for (guint k = 0; k < G_N_ELEMENTS (jobs); k++) {
      g_autoptr (KrOrders) orders = kr_wire_commands_new (G_MAXUINT64, G_MAXUINT64);
      guint count = 0;
      while (functions[i](orders, jobs[k]))
        count++;
      json_t *message = kr_wire_orders_message (orders);
      g_autofree char *text = kr_json_encode (message);
      json_decref (message);
      g_assert_cmpuint (kr_wire_orders_count (orders), ==, count);
      g_assert_cmpuint (strlen (text), <=, KR_LINE_MAX_BYTES);
      g_assert_cmpuint (strlen (text), >, KR_LINE_MAX_BYTES / 2);
    }
}

/* Returns the length of a report that lists that many tasks of the job, with the longest values. */
static gsize
report_bytes (const char *job, guint tasks)
{
  json_t *list = json_array ();
  for (guint i = 0; i < tasks; i++)
    json_array_append_new (list, json_pack ("{so sI ss ss sb}", "Shift",
                                            json_sprintf ("%s/%u", job, G_MAXUINT), "Launch",
                                            (json_int_t) -1, "Bearing", "exited", "Wreck",
                                            "stopped", "Kept", 0));
  json_t *report = json_pack ("{ss ss ss ss sb sI sI sI sf so}", "Berth", "host-000231", "Endpoint",
                              "10.1.0.232:9000", "Hull", "g8", "Harbor", "a", "Driftwood", 0,
                              "Watch", (json_int_t) G_MAXINT64, "Log", (json_int_t) G_MAXINT64,
                              "Helm", (json_int_t) G_MAXINT64, "RecallS", 0.1, "Shifts", list);
  gsize bytes = json_dumpb (report, NULL, 0, 0); /* with blanks, as some libraries write it */
  json_decref (report);
  return bytes;
}

/* Guards against more tasks on a machine than the worker can report: the controllers refuse a
 * report that is too long, and the machine's lease ends. */
static void
test_machine_takes_what_it_can_report (void)
{
  const KrMachineType type = { .name = (char *) "t", .cpus = 1000, .mem_gb = 1000 };
  g_autofree char *longest_id = g_strdup_printf ("wk-%0185d", 7);
  char *const jobs[] = { (char *) "wk-000412", longest_id };
  for (guint i = 0; i < G_N_ELEMENTS (jobs); i++) {
    const KrJobSpec spec = { .id = jobs[i], .tasks = 100000 };
    KrResources left = kr_placement_capacity (&type);
    guint tasks = 0;
    for (; kr_resources_fit (&left, &spec); tasks++)
      kr_resources_subtract (&left, &spec);
    g_assert_cmpuint (report_bytes (jobs[i], tasks), <=, KR_BODY_MAX_BYTES);
    g_assert_cmpuint (report_bytes (jobs[i], tasks), >, KR_BODY_MAX_BYTES / 2);
    g_assert_cmpfloat (kr_placement_machine_share (&spec, &type) * tasks, <=, 1);
    g_assert_cmpfloat (kr_placement_machine_share (&spec, &type) * (tasks + 1), >, 1);
  }
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/small-tasks/orders-fit-a-line", test_orders_fit_a_line);
  g_test_add_func ("/small-tasks/machine-takes-what-it-can-report",
                   test_machine_takes_what_it_can_report);
  g_test_add_func ("/small-tasks/thousands", test_thousands_of_tasks);
  g_test_add_func ("/small-tasks/without-needs", test_tasks_without_needs);
  g_test_add_func ("/small-tasks/thousands-are-cancelled", test_thousands_are_cancelled);
  return g_test_run ();
}
