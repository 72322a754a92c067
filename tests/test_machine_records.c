/* The shard to which a machine belongs, compared with a simple model for chunk updates in random
 * order, and how duplicate records of a machine are found and removed. */
#include "machine-records.h"
#include <string.h>

#define SHARDS 3
#define CHUNKS 3
#define MACHINES 12

static guint removed_events, changed_events[SHARDS];

static void
on_changed (guint shard, gpointer data)
{
  changed_events[shard]++;
}

static void
on_removed (const char *machine, gpointer data)
{
  removed_events++;
}

static KrMachineRecords *
records_new (void)
{
  static const KrSettings settings = { .shard_count = SHARDS, .state_value_kb = 16 };
  static const KrMachineRecordEvents events = { on_changed, on_removed };
  memset (changed_events, 0, sizeof changed_events);
  removed_events = 0;
  return kr_machine_records_new (&settings, &events, NULL);
}

static void
apply_chunk (KrMachineRecords *records, guint shard, guint chunk, json_t *machines,
             guint64 revision)
{
  g_autofree char *key = g_strdup_printf ("c/berths/%u/%u", shard, chunk);
  const KrKeyValue key_value = { .key = key, .value = machines, .revision = revision };
  kr_machine_records_apply (records, &key_value);
  json_decref (machines);
}

/* The model: the newest value of each chunk, searched from the first. */
static json_t *model[SHARDS][CHUNKS];

/* Finds the chunk to which a machine belongs: one in which it is in use comes before one in which
 * it is not, then the lowest shard and chunk. Returns FALSE if no chunk holds it. */
static gboolean
find_in_model (const char *id, guint *shard, guint *chunk, const char **address)
{
  for (guint in_use = 2; in_use-- > 0;)
    for (*shard = 0; *shard < SHARDS; ++*shard)
      for (*chunk = 0; *chunk < CHUNKS; ++*chunk) {
        *address = json_string_value (json_object_get (model[*shard][*chunk], id));
        if (*address && (**address != 0) == (in_use == 1))
          return TRUE;
      }
  return FALSE;
}

static json_t *
random_machines (GRand *rng)
{
  json_t *machines = json_object ();
  for (guint i = 0; i < MACHINES; i++) {
    g_autofree char *id = g_strdup_printf ("host-%06u", i);
    if (g_rand_double (rng) < 0.2)
      json_object_set_new (machines, id, json_string (g_rand_boolean (rng) ? "10.0.0.1:9000" : ""));
  }
  return machines;
}

static void
assert_matches_model (KrMachineRecords *records)
{
  for (guint i = 0; i < MACHINES; i++) {
    g_autofree char *id = g_strdup_printf ("host-%06u", i);
    const KrMachineRecord *record = kr_machine_records_find (records, id);
    const char *address;
    guint shard, chunk;
    if (!find_in_model (id, &shard, &chunk, &address)) {
      g_assert_null (record);
      continue;
    }
    g_assert_nonnull (record);
    g_assert_cmpuint (record->shard, ==, shard);
    g_assert_cmpuint (record->chunk, ==, chunk);
    g_assert_cmpstr (record->address, ==, address);
  }
}

static void
test_model (void)
{
  GRand *rng = g_rand_new_with_seed (7);
  KrMachineRecords *records = records_new ();
  for (guint64 revision = 1; revision < 4000; revision++) {
    guint shard = (guint) g_rand_int_range (rng, 0, SHARDS);
    guint chunk = (guint) g_rand_int_range (rng, 0, CHUNKS);
    json_t *machines = random_machines (rng);
    json_decref (model[shard][chunk]);
    model[shard][chunk] = json_incref (machines);
    apply_chunk (records, shard, chunk, machines, revision);
    assert_matches_model (records);
  }
  for (guint shard = 0; shard < SHARDS; shard++)
    for (guint chunk = 0; chunk < CHUNKS; chunk++)
      g_clear_pointer (&model[shard][chunk], json_decref);
  g_rand_free (rng);
  kr_machine_records_free (records);
}

/* A move changes two chunks at one revision, but their watch events arrive one after the other.
 * Meanwhile the machine must always belong to a shard, and the new shard's owner must be told. */
static void
test_move (void)
{
  KrMachineRecords *records = records_new ();
  apply_chunk (records, 0, 0, json_pack ("{ss}", "host-000001", "a"), 1);
  apply_chunk (records, 1, 0, json_pack ("{ss}", "host-000001", "a"), 2);
  apply_chunk (records, 0, 0, json_object (), 2);
  g_assert_cmpuint (removed_events, ==, 0);
  g_assert_cmpuint (kr_machine_records_find (records, "host-000001")->shard, ==, 1);
  g_assert_cmpuint (changed_events[1], ==, 2); /* again once it belongs to shard 1 */
  kr_machine_records_free (records);
}

static void
count_duplicate (const char *id, const KrMachineRecord *record, gpointer data)
{
  g_assert_cmpstr (id, ==, "host-000001");
  g_assert_cmpuint (record->shard, ==, 1);
  ++*(guint *) data;
}

static void
test_duplicate (void)
{
  KrMachineRecords *records = records_new ();
  guint duplicates = 0;
  apply_chunk (records, 1, 0, json_pack ("{ss}", "host-000001", "a"), 1); /* in use in shard 1 */
  apply_chunk (records, 0, 0, json_pack ("{ss ss}", "host-000001", "", "host-000002", ""), 2);
  kr_machine_records_foreach_duplicate (records, 0, count_duplicate, &duplicates);
  kr_machine_records_foreach_duplicate (records, 1, count_duplicate, &duplicates);
  g_assert_cmpuint (duplicates, ==, 1);
  g_autoptr (KrRecordUpdate) update = kr_record_update_new (records);
  kr_record_update_remove_duplicates (update, 0, "host-000001");
  /* Two chunks: the update fails as well if the chunk that keeps the machine has changed. */
  g_assert_cmpuint (kr_record_update_chunk_count (update), ==, 2);
  kr_record_update_committed (update, 3);
  duplicates = 0;
  kr_machine_records_foreach_duplicate (records, 0, count_duplicate, &duplicates);
  g_assert_cmpuint (duplicates, ==, 0);
  g_assert_cmpuint (kr_machine_records_find (records, "host-000001")->shard, ==, 1);
  g_assert_cmpuint (kr_machine_records_find (records, "host-000002")->shard, ==, 0);
  g_assert_cmpuint (removed_events, ==, 0);
  kr_machine_records_free (records);
}

/* A transaction that expects a chunk's old revision can no longer succeed once a newer revision of
 * that chunk has been seen. A newer revision of another chunk shows nothing about it. */
static void
test_chunk_version (void)
{
  KrMachineRecords *records = records_new ();
  KrChunkVersion version;
  g_autoptr (KrRecordUpdate) empty_update = kr_record_update_new (records);
  g_assert_false (kr_record_update_chunk_version (empty_update, &version));
  g_autoptr (KrRecordUpdate) update = kr_record_update_new (records);
  kr_record_update_add (update, 2, "host-000001", "");
  g_assert_true (kr_record_update_chunk_version (update, &version));
  g_assert_cmpuint (version.shard, ==, 2);
  g_assert_cmpuint (version.revision, ==, 0);
  g_assert_false (kr_machine_records_changed_since (records, &version));
  apply_chunk (records, 1, 0, json_object (), 4);
  g_assert_false (kr_machine_records_changed_since (records, &version));
  apply_chunk (records, 2, 0, json_object (), 5);
  g_assert_true (kr_machine_records_changed_since (records, &version));
  kr_machine_records_free (records);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/machine-records/model", test_model);
  g_test_add_func ("/machine-records/move", test_move);
  g_test_add_func ("/machine-records/duplicate", test_duplicate);
  g_test_add_func ("/machine-records/chunk-version", test_chunk_version);
  return g_test_run ();
}
