/* The settings file: unknown fields are ignored, and an invalid file gives a one-line message that
 * names the field. Also the parser of job submissions. */
#include "settings.h"
#include "wire.h"
#include <glib/gstdio.h>

static const char valid_settings[] =
    "node_name = \"machine-1\"\nzone = \"z\"\nclient_listen = \"127.0.0.1:1\"\n"
    "internal_addr = \"127.0.0.1:2\"\nfuture = { x = [1, 2] }\n"
    "[[others]]\nnode_name = \"machine-0\"\nzone = \"z\"\npeer_addr = \"127.0.0.1:3\"\n"
    "[external]\ncloud = \"127.0.0.1:4\"\nstate = \"127.0.0.1:5\"\n"
    "[facts]\nsize = 2\n[[facts.teams]]\nname = \"a\"\n[[facts.teams]]\nname = \"b\"\n"
    "[[facts.objectives]]\nkind = \"finished\"\nclass = \"l\"\nwithin_s = 80.0\n"
    "[facts.workers]\nreport_s = 2.0\nlease_s = 12\ncancel_s = 40.0\n"
    "[facts.state]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 8.0\ntxn_ops = 12\n"
    "[facts.cloud]\nrps = 3.0\nlist_lag_s = 6.0\n[facts.resources]\nsockets = 900\n";

static KrSettings *
load_text (const char *text, GError **error)
{
  g_autofree char *path = g_build_filename (g_get_tmp_dir (), "kr-settings-XXXXXX", NULL);
  int fd = g_mkstemp (path);
  g_assert_cmpint (fd, >=, 0);
  g_close (fd, NULL);
  g_assert_true (g_file_set_contents (path, text, -1, NULL));
  KrSettings *settings = kr_settings_load (path, error);
  g_unlink (path);
  return settings;
}

static void
test_valid (void)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (KrSettings) settings = load_text (valid_settings, &error);
  g_assert_no_error (error);
  g_assert_cmpuint (settings->self_index, ==, 1); /* the nodes are sorted by name */
  g_assert_cmpuint (kr_settings_shard_of_team (settings, "b"), ==, 1);
  g_assert_cmpfloat (kr_settings_finish_goal_s (settings, "l"), ==, 80);
  g_assert_null (kr_settings_team (settings, "c"));
}

static void
test_invalid (void)
{
  const struct {
    const char *from, *to, *expected_in_message;
  } cases[] = { { "lease_s = 12", "lease_s = \"12\"", "facts.workers.lease_s" },
                { "lease_s = 12", "", "facts.workers.lease_s" },
                { "rps = 3.0", "rps = -3.0", "facts.cloud.rps" },
                { "127.0.0.1:5", "localhost:5", "external.state" },
                { "127.0.0.1:1", "127.0.0.1:99999", "client_listen" },
                { "size = 2", "size = 0", "facts.size" },
                { "machine-0", "machine-1", "machine-1" },
                { "zone = \"z\"", "zone = \"z", "TOML" } };
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    g_autoptr (GError) error = NULL;
    g_autoptr (GString) text = g_string_new (valid_settings);
    g_string_replace (text, cases[i].from, cases[i].to, 1);
    g_assert_null (load_text (text->str, &error));
    g_assert_nonnull (error);
    g_assert_nonnull (strstr (error->message, cases[i].expected_in_message));
    g_assert_null (strchr (error->message, '\n'));
  }
}

/* Fields of a job submission, each with an invalid value: the error message names the field. A
 * valid submission is also encoded and parsed again. */
static void
test_bad_specs (void)
{
  const char *base = "{'Id':'wk-000412','Lane':'train','Crew':'vision','Form':'array','Rank':"
                     "'urgent','Shifts':16,'Cores':8.0,'Accelerators':1.0,'MemGb':64.0,'Cargo':"
                     "'img-07','PullGb':6.2,'Hulls':['g8'],'Harbor':null,'OneZone':true,'Apart':"
                     "false,'Driftwood':true,'SailS':240.0,'MooringS':30.0,'StowS':4.0,'TideS':"
                     "900.0}";
  const struct {
    const char *field, *value;
  } cases[] = { { "Id", "\"wk-\"" },     { "Id", "\"wk-1/2\"" },  { "Id", "7" },
                { "Lane", "\"\"" },      { "Crew", "null" },      { "Form", "\"pile\"" },
                { "Rank", "\"high\"" },  { "Shifts", "0" },       { "Shifts", "1.5" },
                { "Shifts", "100001" },  { "Cores", "-1" },       { "MemGb", "\"4\"" },
                { "Hulls", "[]" },       { "Hulls", "[3]" },      { "Harbor", "5" },
                { "OneZone", "1" },      { "Driftwood", "null" }, { "SailS", "null" },
                { "TideS", "\"soon\"" }, { "MooringS", "-1" } };
  g_autofree char *text = g_strdelimit (g_strdup (base), "'", '"');
  json_t *spec_json = kr_json_decode (text, strlen (text), NULL);
  g_autoptr (GError) error = NULL;
  g_autoptr (KrJobSpec) spec = kr_wire_spec_parse (spec_json, &error);
  g_assert_no_error (error);
  json_t *rebuilt_json = kr_wire_spec_build (spec);
  g_autoptr (KrJobSpec) parsed_again = kr_wire_spec_parse (rebuilt_json, &error);
  g_assert_no_error (error);
  g_assert_cmpfloat (parsed_again->deadline_s, ==, 900);
  g_assert_cmpstr (parsed_again->types[0], ==, "g8");
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++) {
    json_t *bad_spec = json_deep_copy (spec_json);
    g_autoptr (GError) error_of_case = NULL;
    json_object_set_new (bad_spec, cases[i].field,
                         kr_json_decode (cases[i].value, strlen (cases[i].value), NULL));
    g_assert_null (kr_wire_spec_parse (bad_spec, &error_of_case));
    g_assert_nonnull (strstr (error_of_case->message, cases[i].field));
    json_decref (bad_spec);
  }
  json_decref (spec_json);
  json_decref (rebuilt_json);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/settings/valid", test_valid);
  g_test_add_func ("/settings/invalid", test_invalid);
  g_test_add_func ("/wire/bad-specs", test_bad_specs);
  return g_test_run ();
}
