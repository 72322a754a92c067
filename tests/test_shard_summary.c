/* The summaries that owners send to the leader, well-formed and malformed. */
#include "constants.h"
#include "fixture.h"
#include "shard-summary.h"
#include <string.h>

/* Every node sends the leader a summary of its home shard with these entries, for some rounds. */
static void
send_summaries (const char *demands, const char *machines)
{
  for (guint node = 0; node < default_options.nodes; node++) {
    g_autofree char *body =
        g_strdup_printf ("{\"Parts\":[{\"Part\":%u,\"Needs\":%s,\"Berths\":%s}],\"Backlog\":0}",
                         node, demands, machines);
    sim_replace_summaries (node, body);
  }
  sim_run (3);
  for (guint node = 0; node < default_options.nodes; node++)
    sim_replace_summaries (node, NULL);
}

/* Guards against a leader that crashes or hangs because of a malformed entry in a summary. */
static void
test_malformed_entries (void)
{
  const char *const machines[] = { "[{\"Type\":\"t8\"}]",
                                   "[{\"Id\":7}]",
                                   "[null,5,\"x\"]",
                                   "[{\"Id\":\"host-000000\",\"To\":1000000}]",
                                   "[{\"Id\":\"host-000000\",\"To\":-9}]",
                                   "[{\"Id\":\"host-000000\",\"To\":\"1\"}]" };
  const char *const demands[] = { "[5]", "[{\"Types\":[null],\"Slots\":3}]",
                                  "[{\"Zone\":5,\"Slots\":3}]", "[{\"Slots\":-3,\"Cpus\":1}]" };
  start_cluster (&default_options);
  submit_jobs (40, 15);
  sim_run (4);
  for (guint i = 0; i < G_N_ELEMENTS (machines); i++)
    send_summaries ("[]", machines[i]);
  for (guint i = 0; i < G_N_ELEMENTS (demands); i++)
    send_summaries (demands[i], "[]");
  finish_and_check (400);
}

static KrShardSummary *
parse (const char *text)
{
  json_t *message = kr_json_decode (text, strlen (text), NULL);
  KrShardSummary *summary = kr_shard_summary_parse (message, 3);
  json_decref (message);
  return summary;
}

/* Guards against a summary that is used although its shard is not known. */
static void
test_malformed_message (void)
{
  const char *const messages[] = { "{}",
                                   "[]",
                                   "{\"Needs\":[]}",
                                   "{\"Part\":3,\"Needs\":[]}",
                                   "{\"Part\":-1,\"Needs\":[]}",
                                   "{\"Part\":4294967296,\"Needs\":[]}",
                                   "{\"Part\":\"1\",\"Needs\":[]}",
                                   "{\"Part\":1}",
                                   "{\"Part\":1,\"Needs\":{}}" };
  for (guint i = 0; i < G_N_ELEMENTS (messages); i++)
    g_assert_null (parse (messages[i]));
}

/* Guards against values that an earlier version does not send, or that are invalid, being read as
 * if they were known. */
static void
test_missing_values (void)
{
  g_autoptr (KrShardSummary) summary =
      parse ("{\"Part\":1,\"Needs\":[{\"Slots\":4},{\"Slots\":4,\"First\":9,\"Most\":7},"
             "{\"Slots\":-1},{\"Slots\":4,\"Cpus\":\"1\"},{\"Slots\":4,\"Zone\":7},"
             "{\"Slots\":4,\"Types\":\"t8\"},{\"Slots\":4,\"Types\":[\"t8\",1]}],"
             "\"Berths\":[{\"Id\":\"a\"},{\"Id\":\"b\",\"To\":3},{\"Id\":\"c\",\"To\":2},{}]}");
  g_assert_nonnull (summary);
  g_assert_cmpuint (summary->ignored, ==, 6);
  g_assert_cmpuint (summary->demands->len, ==, 2);
  const KrDemand *old = summary->demands->pdata[0], *new = summary->demands->pdata[1];
  g_assert_cmpfloat (old->starved_slots, ==, 0);
  g_assert_cmpfloat (old->max_slots, ==, 4);
  g_assert_cmpfloat (new->starved_slots, ==, 4);
  g_assert_cmpfloat (new->max_slots, ==, 7);
  g_assert_cmpuint (summary->machines->len, ==, 3);
  const KrMachineSummary *machines = (KrMachineSummary *) summary->machines->data;
  g_assert_null (machines[0].type);
  g_assert_null (machines[0].zone);
  g_assert_cmpfloat (machines[0].idle_s, ==, -1);
  g_assert_cmpint (machines[0].target_shard, ==, -1);
  g_assert_cmpint (machines[1].target_shard, ==, -1);
  g_assert_cmpint (machines[2].target_shard, ==, 2);
}

/* Guards against a field that is written and read under different names. */
static void
test_round_trip (void)
{
  KrJobSpec requirements = { .types = (char *[]){ (char *) "t4", (char *) "t8", NULL },
                             .zone = (char *) "z1",
                             .spot_allowed = TRUE,
                             .cpus = 1.5,
                             .gpus = 2,
                             .mem_gb = 3.25 };
  const KrDemand demand = { .requirements = &requirements,
                            .starved_slots = 1,
                            .goal_slots = 4,
                            .max_slots = 9,
                            .urgent = TRUE };
  const KrMachineSummary machine = { "host-1", "t8", "z0", TRUE, TRUE, TRUE, 2.5, 7.5, 2 };
  json_t *message =
      kr_shard_summary_to_json (1, TRUE, json_pack ("[o]", kr_demand_to_json (&demand)),
                                json_pack ("[o]", kr_machine_summary_to_json (&machine)));
  g_autoptr (KrShardSummary) summary = kr_shard_summary_parse (message, 3);
  json_t *again =
      kr_shard_summary_to_json (summary->shard, summary->has_pending,
                                json_pack ("[o]", kr_demand_to_json (summary->demands->pdata[0])),
                                json_pack ("[o]", kr_machine_summary_to_json (&g_array_index (
                                                      summary->machines, KrMachineSummary, 0))));
  g_assert_true (json_equal (message, again));
  g_assert_cmpuint (summary->ignored, ==, 0);
  json_decref (again);
  kr_shard_summary_make_stored (message, 0, 5);
  g_autoptr (KrShardSummary) stored = kr_shard_summary_parse (message, 3);
  g_assert_cmpfloat (stored->stored_at, ==, 5);
  g_assert_cmpuint (stored->demands->len + stored->machines->len, ==, 0);
  json_decref (message);
}

/* Guards against a stored summary that is refused for its length. */
static void
test_stored_form_fits (void)
{
  g_autofree char *long_zone = g_strnfill (20000, 'z');
  json_t *demands = json_array ();
  for (guint i = 0; i < 3; i++) {
    KrJobSpec requirements = { .zone = i == 1 ? long_zone : "z1", .cpus = 1 };
    const KrDemand demand = { .requirements = &requirements, .goal_slots = 1, .max_slots = 1 };
    json_array_append_new (demands, kr_demand_to_json (&demand));
  }
  json_t *message = kr_shard_summary_to_json (1, TRUE, demands, json_array ());
  kr_shard_summary_make_stored (message, 1000, 5);
  g_autofree char *text = kr_json_encode (message);
  g_assert_cmpuint (strlen (text), <, 1000 + KR_VALUE_SLACK_BYTES);
  g_autoptr (KrShardSummary) stored = kr_shard_summary_parse (message, 3);
  g_assert_cmpuint (stored->demands->len, ==, 2);
  json_decref (message);
}

int
main (int argc, char **argv)
{
  fixture_init (&argc, &argv);
  g_test_add_func ("/shard-summary/malformed-entries", test_malformed_entries);
  g_test_add_func ("/shard-summary/malformed-message", test_malformed_message);
  g_test_add_func ("/shard-summary/missing-values", test_missing_values);
  g_test_add_func ("/shard-summary/round-trip", test_round_trip);
  g_test_add_func ("/shard-summary/stored-form-fits", test_stored_form_fits);
  return g_test_run ();
}
