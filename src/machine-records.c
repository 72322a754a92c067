#include "machine-records.h"
#include "constants.h"
#include "log.h"
#include <stdio.h>

#define PREFIX "c/berths/" /* stored name of the machine records */

typedef struct {
  json_t *machines; /* machine id -> address or "" */
  guint64 revision;
} Chunk;

struct KrMachineRecords {
  const KrSettings *settings;
  KrMachineRecordEvents events;
  gpointer data;
  GArray **shards;      /* for each shard: array of Chunk */
  GHashTable *index;    /* machine id -> KrMachineRecord */
  guint chunk_capacity; /* machines that fit into a chunk */
};

typedef struct {
  guint shard, chunk;
  json_t *machines; /* new contents of the chunk */
  guint64 revision; /* expected of the chunk's key */
} ChunkChange;

struct KrRecordUpdate {
  KrMachineRecords *records;
  GArray *changes; /* ChunkChange */
};

static void
chunk_clear (gpointer chunk)
{
  json_decref (((Chunk *) chunk)->machines);
}

KrMachineRecords *
kr_machine_records_new (const KrSettings *settings, const KrMachineRecordEvents *events,
                        gpointer data)
{
  KrMachineRecords *records = g_new0 (KrMachineRecords, 1);
  records->settings = settings;
  records->events = *events;
  records->data = data;
  records->shards = g_new0 (GArray *, settings->shard_count);
  for (guint shard = 0; shard < settings->shard_count; shard++) {
    records->shards[shard] = g_array_new (FALSE, TRUE, sizeof (Chunk));
    g_array_set_clear_func (records->shards[shard], chunk_clear);
  }
  records->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  records->chunk_capacity = (guint) MIN (KR_RECORD_CHUNK_MACHINES,
                                         (settings->state_value_kb * 1024 - KR_VALUE_SLACK_BYTES) /
                                             KR_RECORD_MACHINE_BYTES);
  return records;
}

void
kr_machine_records_free (KrMachineRecords *records)
{
  for (guint shard = 0; shard < records->settings->shard_count; shard++)
    g_array_unref (records->shards[shard]);
  g_free (records->shards);
  g_hash_table_unref (records->index);
  g_free (records);
}

/* Returns the known contents of a chunk; NULL if it does not exist. */
static const Chunk *
known_chunk (const KrMachineRecords *records, guint shard, guint chunk)
{
  const GArray *all = records->shards[shard];
  return chunk < all->len ? &g_array_index (all, Chunk, chunk) : NULL;
}

/* Returns a machine's entry in a chunk: its address, "" if the machine is not used, or NULL if the
 * chunk does not hold it. */
static const char *
find_in_chunk (const KrMachineRecords *records, guint shard, guint chunk, const char *id)
{
  const Chunk *known = known_chunk (records, shard, chunk);
  json_t *entry = known ? json_object_get (known->machines, id) : NULL;
  const char *address = json_string_value (entry);
  return entry && !address ? "" : address;
}

/* Whether the machine belongs to the chunk of `a`, if the chunks of `a` and `b` both hold it. */
static gboolean
takes_precedence (const KrMachineRecord *a, const KrMachineRecord *b)
{
  gboolean a_used = *a->address != 0, b_used = *b->address != 0;
  if (a_used != b_used)
    return a_used;
  return a->shard != b->shard ? a->shard < b->shard : a->chunk < b->chunk;
}

/* Searches all chunks for the one to which the machine belongs. Returns FALSE if none holds it. */
static gboolean
find_record (const KrMachineRecords *records, const char *id, KrMachineRecord *best)
{
  gboolean any = FALSE;
  for (guint shard = 0; shard < records->settings->shard_count; shard++)
    for (guint chunk = 0; chunk < records->shards[shard]->len; chunk++) {
      const char *address = find_in_chunk (records, shard, chunk, id);
      if (!address)
        continue;
      KrMachineRecord found = { shard, chunk, address,
                                known_chunk (records, shard, chunk)->revision };
      if (!any || takes_precedence (&found, best))
        *best = found;
      any = TRUE;
    }
  return any;
}

/* Updates the index for a machine that a chunk holds; the chunk itself is already updated. */
static void
apply_entry (KrMachineRecords *records, const char *id, const KrMachineRecord *found)
{
  KrMachineRecord *record = g_hash_table_lookup (records->index, id);
  if (!record) {
    g_hash_table_insert (records->index, g_strdup (id), g_memdup2 (found, sizeof *found));
    return;
  }
  gboolean same = record->shard == found->shard && record->chunk == found->chunk;
  /* The chunk may have had precedence over another one only because the machine was used there. */
  if (same && *record->address && !*found->address)
    find_record (records, id, record);
  else if (same || takes_precedence (found, record))
    *record = *found;
}

/* Updates the index for a machine that was removed from the chunk to which it belonged. Returns
 * TRUE and sets `other` if another chunk holds it. */
static gboolean
apply_removal (KrMachineRecords *records, const char *id, KrMachineRecord *other)
{
  if (find_record (records, id, other)) {
    *(KrMachineRecord *) g_hash_table_lookup (records->index, id) = *other;
    return TRUE;
  }
  records->events.removed (id, records->data);
  g_hash_table_remove (records->index, id);
  return FALSE;
}

/* Replaces the known contents of a chunk, if `revision` is newer, and reports the changes. */
static void
apply_chunk (KrMachineRecords *records, guint shard, guint chunk, json_t *machines,
             guint64 revision)
{
  g_autofree gboolean *shard_gained = g_new0 (gboolean, records->settings->shard_count);
  const char *id;
  json_t *entry;

  if (chunk >= records->shards[shard]->len)
    g_array_set_size (records->shards[shard], chunk + 1);
  Chunk *known = &g_array_index (records->shards[shard], Chunk, chunk);
  if (revision <= known->revision)
    return;
  json_t *old_machines = known->machines;
  known->machines = json_incref (machines);
  known->revision = revision;
  json_object_foreach (machines, id, entry)
  {
    const KrMachineRecord found = { shard, chunk,
                                    json_string_value (entry) ? json_string_value (entry) : "",
                                    revision };
    apply_entry (records, id, &found);
  }
  /* Removals follow the additions: the new entry of a machine that was moved has been applied by
   * now, or will be. */
  json_object_foreach (old_machines, id, entry)
  {
    const KrMachineRecord *record =
        json_object_get (machines, id) ? NULL : kr_machine_records_find (records, id);
    KrMachineRecord other;
    if (record && record->shard == shard && record->chunk == chunk &&
        apply_removal (records, id, &other))
      shard_gained[other.shard] = TRUE;
  }
  json_decref (old_machines);
  for (guint other_shard = 0; other_shard < records->settings->shard_count; other_shard++)
    if (other_shard == shard || shard_gained[other_shard])
      records->events.changed (other_shard, records->data);
}

gboolean
kr_machine_records_changed_since (KrMachineRecords *records, const KrChunkVersion *version)
{
  const Chunk *known = known_chunk (records, version->shard, version->chunk);
  return known && known->revision > version->revision;
}

void
kr_machine_records_apply (KrMachineRecords *records, const KrKeyValue *item)
{
  guint shard, chunk;
  if (!item->value || sscanf (item->key, PREFIX "%u/%u", &shard, &chunk) != 2 ||
      shard >= records->settings->shard_count || chunk >= KR_RECORD_CHUNKS_MAX)
    return;
  if (json_is_object (item->value)) {
    apply_chunk (records, shard, chunk, item->value, item->revision);
    return;
  }
  /* Guards against a malformed value: all machines of the chunk would count as removed. The known
   * contents are kept under the new revision, so that the next write of the chunk repairs it. */
  kr_info ("state: %s is malformed, keeping its last known contents", item->key);
  json_t *known = chunk < records->shards[shard]->len
                      ? g_array_index (records->shards[shard], Chunk, chunk).machines
                      : NULL;
  json_t *machines = known ? json_incref (known) : json_object ();
  apply_chunk (records, shard, chunk, machines, item->revision);
  json_decref (machines);
}

const KrMachineRecord *
kr_machine_records_find (KrMachineRecords *records, const char *machine)
{
  return g_hash_table_lookup (records->index, machine);
}

void
kr_machine_records_foreach_all (KrMachineRecords *records, KrMachineRecordFunc func, gpointer data)
{
  GHashTableIter iter;
  gpointer id, value;
  g_hash_table_iter_init (&iter, records->index);
  while (g_hash_table_iter_next (&iter, &id, &value))
    func (id, value, data);
}

void
kr_machine_records_foreach (KrMachineRecords *records, guint shard, KrMachineRecordFunc func,
                            gpointer data)
{
  for (guint chunk = 0; chunk < records->shards[shard]->len; chunk++) {
    const char *id;
    json_t *entry;
    json_object_foreach (g_array_index (records->shards[shard], Chunk, chunk).machines, id, entry)
    {
      const KrMachineRecord *record = kr_machine_records_find (records, id);
      if (record && record->shard == shard)
        func (id, record, data);
    }
  }
}

void
kr_machine_records_foreach_duplicate (KrMachineRecords *records, guint shard,
                                      KrMachineRecordFunc func, gpointer data)
{
  for (guint chunk = 0; chunk < records->shards[shard]->len; chunk++) {
    const char *id;
    json_t *entry;
    json_object_foreach (g_array_index (records->shards[shard], Chunk, chunk).machines, id, entry)
    {
      const KrMachineRecord *record = kr_machine_records_find (records, id);
      if (record && (record->shard != shard || record->chunk != chunk))
        func (id, record, data);
    }
  }
}

/* --- updates ------------------------------------------------------------------------- */
static void
change_clear (gpointer change)
{
  json_decref (((ChunkChange *) change)->machines);
}

KrRecordUpdate *
kr_record_update_new (KrMachineRecords *records)
{
  KrRecordUpdate *update = g_new (KrRecordUpdate, 1);
  *update = (KrRecordUpdate){ records, g_array_new (FALSE, FALSE, sizeof (ChunkChange)) };
  g_array_set_clear_func (update->changes, change_clear);
  return update;
}

void
kr_record_update_free (KrRecordUpdate *update)
{
  g_array_unref (update->changes);
  g_free (update);
}

/* Returns a chunk's machines as changed by the update; NULL if the chunk is not in the update. */
static json_t *
updated_machines (const KrRecordUpdate *update, guint shard, guint chunk)
{
  for (guint i = 0; i < update->changes->len; i++) {
    const ChunkChange *change = &g_array_index (update->changes, ChunkChange, i);
    if (change->shard == shard && change->chunk == chunk)
      return change->machines;
  }
  return NULL;
}

/* Returns the machines of a chunk for the update to change, and adds the chunk to the update. */
static json_t *
machines_to_update (KrRecordUpdate *update, guint shard, guint chunk)
{
  json_t *machines = updated_machines (update, shard, chunk);
  if (machines)
    return machines;
  const Chunk *old = known_chunk (update->records, shard, chunk);
  /* A shallow copy will do, since entries are never changed in place. */
  ChunkChange change = { shard, chunk,
                         old && old->machines ? json_copy (old->machines) : json_object (),
                         old ? old->revision : 0 };
  g_array_append_val (update->changes, change);
  return change.machines;
}

/* Returns the number of machines in a chunk once the update is applied. */
static guint
updated_size (const KrRecordUpdate *update, guint shard, guint chunk)
{
  const json_t *machines = updated_machines (update, shard, chunk);
  const Chunk *old = known_chunk (update->records, shard, chunk);
  return (guint) json_object_size (machines ? machines : old ? old->machines : NULL);
}

void
kr_record_update_add (KrRecordUpdate *update, guint shard, const char *machine, const char *address)
{
  guint chunk = 0;
  while (updated_size (update, shard, chunk) >= update->records->chunk_capacity)
    chunk++;
  json_object_set_new (machines_to_update (update, shard, chunk), machine, json_string (address));
}

void
kr_record_update_set (KrRecordUpdate *update, const char *machine, const char *address)
{
  const KrMachineRecord *record = kr_machine_records_find (update->records, machine);
  if (record)
    json_object_set_new (machines_to_update (update, record->shard, record->chunk), machine,
                         json_string (address));
}

void
kr_record_update_remove (KrRecordUpdate *update, const char *machine)
{
  const KrMachineRecord *record = kr_machine_records_find (update->records, machine);
  if (record)
    json_object_del (machines_to_update (update, record->shard, record->chunk), machine);
}

void
kr_record_update_touch (KrRecordUpdate *update, const char *machine)
{
  const KrMachineRecord *record = kr_machine_records_find (update->records, machine);
  if (record)
    machines_to_update (update, record->shard, record->chunk);
}

void
kr_record_update_touch_chunk (KrRecordUpdate *update, const KrChunkVersion *version)
{
  machines_to_update (update, version->shard, version->chunk);
}

void
kr_record_update_remove_duplicates (KrRecordUpdate *update, guint shard, const char *machine)
{
  const KrMachineRecord *record = kr_machine_records_find (update->records, machine);
  for (guint chunk = 0; record && chunk < update->records->shards[shard]->len; chunk++)
    if (find_in_chunk (update->records, shard, chunk, machine) &&
        (record->shard != shard || record->chunk != chunk))
      json_object_del (machines_to_update (update, shard, chunk), machine);
  kr_record_update_touch (update, machine);
}

gboolean
kr_record_update_chunk_version (const KrRecordUpdate *update, KrChunkVersion *version)
{
  if (!update->changes->len)
    return FALSE;
  const ChunkChange *first = &g_array_index (update->changes, ChunkChange, 0);
  *version = (KrChunkVersion){ first->shard, first->chunk, first->revision };
  return TRUE;
}

guint
kr_record_update_chunk_count (const KrRecordUpdate *update)
{
  return update->changes->len;
}

void
kr_record_update_add_to_txn (const KrRecordUpdate *update, KrTxn *txn)
{
  for (guint i = 0; i < update->changes->len; i++) {
    const ChunkChange *change = &g_array_index (update->changes, ChunkChange, i);
    g_autofree char *key = g_strdup_printf (PREFIX "%u/%u", change->shard, change->chunk);
    kr_txn_expect_revision (txn, key, change->revision);
    kr_txn_put (txn, key, json_incref (change->machines), 0);
  }
}

void
kr_record_update_committed (const KrRecordUpdate *update, guint64 revision)
{
  for (guint i = 0; i < update->changes->len; i++) {
    const ChunkChange *change = &g_array_index (update->changes, ChunkChange, i);
    apply_chunk (update->records, change->shard, change->chunk, change->machines, revision);
  }
}
