/* To which part a machine belongs, whatever order its chunks' changes come in, beside a plain
 * model; and how machines that stand in two records are told and taken out. */
#include "machine-records.h"
#include <string.h>

#define PARTS 3
#define CHUNKS 3
#define MACHINES 12

static guint left_events, changed_events[PARTS];

static void
changed (guint shard, gpointer data)
{
  changed_events[shard]++;
}

static void
left (const char *machine, gpointer data)
{
  left_events++;
}

static KrMachineRecords *
records_new (void)
{
  static const KrSettings settings = { .shard_count = PARTS, .state_value_kb = 16 };
  static const KrMachineRecordEvents events = { changed, left };
  memset (changed_events, 0, sizeof changed_events);
  left_events = 0;
  return kr_machine_records_new (&settings, &events, NULL);
}

static void
note (KrMachineRecords *records, guint shard, guint chunk, json_t *machines, guint64 revision)
{
  g_autofree char *key = g_strdup_printf ("c/berths/%u/%u", shard, chunk);
  const KrKeyValue item = { .key = key, .value = machines, .revision = revision };
  kr_machine_records_apply (records, &item);
  json_decref (machines);
}

/* The model: all chunks as they stand, looked through from the start. */
static json_t *model[PARTS][CHUNKS];

static gboolean
belongs (const char *id, guint *shard, guint *chunk, const char **address)
{
  for (guint used = 2; used-- > 0;)
    for (*shard = 0; *shard < PARTS; ++*shard)
      for (*chunk = 0; *chunk < CHUNKS; ++*chunk) {
        *address = json_string_value (json_object_get (model[*shard][*chunk], id));
        if (*address && (**address != 0) == (used == 1))
          return TRUE;
      }
  return FALSE;
}

static json_t *
some_machines (GRand *random)
{
  json_t *machines = json_object ();
  for (guint i = 0; i < MACHINES; i++) {
    g_autofree char *id = g_strdup_printf ("host-%06u", i);
    if (g_rand_double (random) < 0.2)
      json_object_set_new (machines, id,
                           json_string (g_rand_boolean (random) ? "10.0.0.1:9000" : ""));
  }
  return machines;
}

static void
compare (KrMachineRecords *records)
{
  for (guint i = 0; i < MACHINES; i++) {
    g_autofree char *id = g_strdup_printf ("host-%06u", i);
    const KrMachineRecord *member = kr_machine_records_find (records, id);
    const char *address;
    guint shard, chunk;
    if (!belongs (id, &shard, &chunk, &address)) {
      g_assert_null (member);
      continue;
    }
    g_assert_nonnull (member);
    g_assert_cmpuint (member->shard, ==, shard);
    g_assert_cmpuint (member->chunk, ==, chunk);
    g_assert_cmpstr (member->address, ==, address);
  }
}

static void
test_model (void)
{
  GRand *random = g_rand_new_with_seed (7);
  KrMachineRecords *records = records_new ();
  for (guint64 revision = 1; revision < 4000; revision++) {
    guint shard = (guint) g_rand_int_range (random, 0, PARTS);
    guint chunk = (guint) g_rand_int_range (random, 0, CHUNKS);
    json_t *machines = some_machines (random);
    json_decref (model[shard][chunk]);
    model[shard][chunk] = json_incref (machines);
    note (records, shard, chunk, machines, revision);
    compare (records);
  }
  for (guint p = 0; p < PARTS; p++)
    for (guint k = 0; k < CHUNKS; k++)
      g_clear_pointer (&model[p][k], json_decref);
  g_rand_free (random);
  kr_machine_records_free (records);
}

/* A move is two chunks at one revision, which come one after the other: its machine has a part all
 * the time, and the new part's owner hears of it. */
static void
test_move (void)
{
  KrMachineRecords *records = records_new ();
  note (records, 0, 0, json_pack ("{ss}", "host-000001", "a"), 1);
  note (records, 1, 0, json_pack ("{ss}", "host-000001", "a"), 2);
  note (records, 0, 0, json_object (), 2);
  g_assert_cmpuint (left_events, ==, 0);
  g_assert_cmpuint (kr_machine_records_find (records, "host-000001")->shard, ==, 1);
  g_assert_cmpuint (changed_events[1], ==, 2); /* once it belongs there, too */
  kr_machine_records_free (records);
}

static void
count_stray (const char *id, const KrMachineRecord *member, gpointer data)
{
  g_assert_cmpstr (id, ==, "host-000001");
  g_assert_cmpuint (member->shard, ==, 1);
  ++*(guint *) data;
}

static void
test_stray (void)
{
  KrMachineRecords *records = records_new ();
  guint strays = 0;
  note (records, 1, 0, json_pack ("{ss}", "host-000001", "a"), 1); /* in use there */
  note (records, 0, 0, json_pack ("{ss ss}", "host-000001", "", "host-000002", ""), 2);
  kr_machine_records_foreach_duplicate (records, 0, count_stray, &strays);
  kr_machine_records_foreach_duplicate (records, 1, count_stray, &strays);
  g_assert_cmpuint (strays, ==, 1);
  g_autoptr (KrRecordUpdate) draft = kr_record_update_new (records);
  kr_record_update_remove_duplicates (draft, 0, "host-000001");
  g_assert_cmpuint (kr_record_update_chunk_count (draft), ==,
                    2); /* only while the other chunk stays as it is */
  kr_record_update_committed (draft, 3);
  strays = 0;
  kr_machine_records_foreach_duplicate (records, 0, count_stray, &strays);
  g_assert_cmpuint (strays, ==, 0);
  g_assert_cmpuint (kr_machine_records_find (records, "host-000001")->shard, ==, 1);
  g_assert_cmpuint (kr_machine_records_find (records, "host-000002")->shard, ==, 0);
  g_assert_cmpuint (left_events, ==, 0);
  kr_machine_records_free (records);
}

/* What expected a chunk's revision is ruled out by any newer one. */
static void
test_mark (void)
{
  KrMachineRecords *records = records_new ();
  KrChunkVersion mark;
  g_autoptr (KrRecordUpdate) none = kr_record_update_new (records);
  g_assert_false (kr_record_update_chunk_version (none, &mark));
  g_autoptr (KrRecordUpdate) draft = kr_record_update_new (records);
  kr_record_update_add (draft, 2, "host-000001", "");
  g_assert_true (kr_record_update_chunk_version (draft, &mark));
  g_assert_cmpuint (mark.shard, ==, 2);
  g_assert_cmpuint (mark.revision, ==, 0);
  g_assert_false (kr_machine_records_changed_since (records, &mark));
  note (records, 1, 0, json_object (), 4);
  g_assert_false (kr_machine_records_changed_since (records, &mark));
  note (records, 2, 0, json_object (), 5);
  g_assert_true (kr_machine_records_changed_since (records, &mark));
  kr_machine_records_free (records);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/record/model", test_model);
  g_test_add_func ("/record/move", test_move);
  g_test_add_func ("/record/stray", test_stray);
  g_test_add_func ("/record/mark", test_mark);
  return g_test_run ();
}
