#include "machine-records.h"
#include "constants.h"
#include "log.h"
#include <stdio.h>

#define PREFIX "c/berths/"

typedef struct {
  json_t *machines; /* id -> address or "" */
  guint64 revision;
} Chunk;

struct KrMachineRecords {
  const KrSettings *settings;
  KrMachineRecordEvents events;
  gpointer data;
  GArray **shards;   /* size: Chunk each */
  GHashTable *index; /* id -> KrMachineRecord */
  guint room;        /* machines a chunk */
};

typedef struct {
  guint shard, chunk;
  json_t *machines;
  guint64 revision;
} Change;

struct KrRecordUpdate {
  KrMachineRecords *records;
  GArray *changes; /* Change */
};

static void
chunk_clear (gpointer p)
{
  json_decref (((Chunk *) p)->machines);
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
  for (guint p = 0; p < settings->shard_count; p++) {
    records->shards[p] = g_array_new (FALSE, TRUE, sizeof (Chunk));
    g_array_set_clear_func (records->shards[p], chunk_clear);
  }
  records->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  records->room = (guint) MIN (KR_RECORD_CHUNK_MACHINES,
                               (settings->state_value_kb * 1024 - KR_VALUE_SLACK_BYTES) /
                                   KR_RECORD_MACHINE_BYTES);
  return records;
}

void
kr_machine_records_free (KrMachineRecords *records)
{
  for (guint p = 0; p < records->settings->shard_count; p++)
    g_array_unref (records->shards[p]);
  g_free (records->shards);
  g_hash_table_unref (records->index);
  g_free (records);
}

/* A chunk as it is known; NULL: there is none yet. */
static const Chunk *
known_chunk (const KrMachineRecords *records, guint shard, guint chunk)
{
  const GArray *all = records->shards[shard];
  return chunk < all->len ? &g_array_index (all, Chunk, chunk) : NULL;
}

/* A machine's entry there: its address, "" or NULL (it is not there). */
static const char *
entry (const KrMachineRecords *records, guint shard, guint chunk, const char *id)
{
  const Chunk *known = known_chunk (records, shard, chunk);
  json_t *o = known ? json_object_get (known->machines, id) : NULL;
  const char *address = json_string_value (o);
  return o && !address ? "" : address;
}

/* Of two chunks that hold a machine, the one to which it belongs. */
static gboolean
goes_before (const KrMachineRecord *a, const KrMachineRecord *b)
{
  gboolean a_used = *a->address != 0, b_used = *b->address != 0;
  if (a_used != b_used)
    return a_used;
  return a->shard != b->shard ? a->shard < b->shard : a->chunk < b->chunk;
}

/* The chunk to which the machine belongs, of all that are known. */
static gboolean
find_entry (const KrMachineRecords *records, const char *id, KrMachineRecord *best)
{
  gboolean any = FALSE;
  for (guint p = 0; p < records->settings->shard_count; p++)
    for (guint k = 0; k < records->shards[p]->len; k++) {
      const char *address = entry (records, p, k, id);
      if (!address)
        continue;
      KrMachineRecord found = { p, k, address, known_chunk (records, p, k)->revision };
      if (!any || goes_before (&found, best))
        *best = found;
      any = TRUE;
    }
  return any;
}

/* The machine stands in a chunk, which is known as that already. */
static void
note_entry (KrMachineRecords *records, const char *id, const KrMachineRecord *found)
{
  KrMachineRecord *member = g_hash_table_lookup (records->index, id);
  if (!member) {
    g_hash_table_insert (records->index, g_strdup (id), g_memdup2 (found, sizeof *found));
    return;
  }
  gboolean same = member->shard == found->shard && member->chunk == found->chunk;
  if (same && *member->address && !*found->address) /* it may have been the one for that only */
    find_entry (records, id, member);
  else if (same || goes_before (found, member))
    *member = *found;
}

/* The machine stands no more in the chunk to which it belonged. TRUE: but in another one. */
static gboolean
note_gone (KrMachineRecords *records, const char *id, KrMachineRecord *now_in)
{
  if (find_entry (records, id, now_in)) {
    *(KrMachineRecord *) g_hash_table_lookup (records->index, id) = *now_in;
    return TRUE;
  }
  records->events.removed (id, records->data);
  g_hash_table_remove (records->index, id);
  return FALSE;
}

static void
note (KrMachineRecords *records, guint shard, guint chunk, json_t *machines, guint64 revision)
{
  g_autofree gboolean *joined = g_new0 (gboolean, records->settings->shard_count);
  const char *id;
  json_t *o;

  if (chunk >= records->shards[shard]->len)
    g_array_set_size (records->shards[shard], chunk + 1);
  Chunk *c = &g_array_index (records->shards[shard], Chunk, chunk);
  if (revision <= c->revision)
    return;
  json_t *before = c->machines;
  c->machines = json_incref (machines);
  c->revision = revision;
  json_object_foreach (machines, id, o)
  {
    const KrMachineRecord found = { shard, chunk,
                                    json_string_value (o) ? json_string_value (o) : "", revision };
    note_entry (records, id, &found);
  }
  /* After the additions: a machine that moved was noted at its new place, or will be. */
  json_object_foreach (before, id, o)
  {
    const KrMachineRecord *member =
        json_object_get (machines, id) ? NULL : kr_machine_records_find (records, id);
    KrMachineRecord now_in;
    if (member && member->shard == shard && member->chunk == chunk &&
        note_gone (records, id, &now_in))
      joined[now_in.shard] = TRUE;
  }
  json_decref (before);
  for (guint p = 0; p < records->settings->shard_count; p++)
    if (p == shard || joined[p])
      records->events.changed (p, records->data);
}

gboolean
kr_machine_records_changed_since (KrMachineRecords *records, const KrChunkVersion *mark)
{
  const Chunk *known = known_chunk (records, mark->shard, mark->chunk);
  return known && known->revision > mark->revision;
}

void
kr_machine_records_apply (KrMachineRecords *records, const KrKeyValue *item)
{
  guint shard, chunk;
  if (!item->value || sscanf (item->key, PREFIX "%u/%u", &shard, &chunk) != 2 ||
      shard >= records->settings->shard_count || chunk >= KR_RECORD_CHUNKS_MAX)
    return;
  if (json_is_object (item->value)) {
    note (records, shard, chunk, item->value, item->revision);
    return;
  }
  /* Guards against a value that is none of ours: all its machines would count as gone. What was
   * known stays, under the new revision, so that the next write of the chunk puts it right. */
  kr_info ("state: %s is malformed, left as it was known", item->key);
  json_t *known = chunk < records->shards[shard]->len
                      ? g_array_index (records->shards[shard], Chunk, chunk).machines
                      : NULL;
  json_t *machines = known ? json_incref (known) : json_object ();
  note (records, shard, chunk, machines, item->revision);
  json_decref (machines);
}

const KrMachineRecord *
kr_machine_records_find (KrMachineRecords *records, const char *machine)
{
  return g_hash_table_lookup (records->index, machine);
}

void
kr_machine_records_foreach_all (KrMachineRecords *records, KrMachineRecordFunc walk, gpointer data)
{
  GHashTableIter it;
  gpointer id, value;
  g_hash_table_iter_init (&it, records->index);
  while (g_hash_table_iter_next (&it, &id, &value))
    walk (id, value, data);
}

void
kr_machine_records_foreach (KrMachineRecords *records, guint shard, KrMachineRecordFunc walk,
                            gpointer data)
{
  for (guint k = 0; k < records->shards[shard]->len; k++) {
    const char *id;
    json_t *o;
    json_object_foreach (g_array_index (records->shards[shard], Chunk, k).machines, id, o)
    {
      const KrMachineRecord *member = kr_machine_records_find (records, id);
      if (member && member->shard == shard)
        walk (id, member, data);
    }
  }
}

void
kr_machine_records_foreach_duplicate (KrMachineRecords *records, guint shard,
                                      KrMachineRecordFunc walk, gpointer data)
{
  for (guint k = 0; k < records->shards[shard]->len; k++) {
    const char *id;
    json_t *o;
    json_object_foreach (g_array_index (records->shards[shard], Chunk, k).machines, id, o)
    {
      const KrMachineRecord *member = kr_machine_records_find (records, id);
      if (member && (member->shard != shard || member->chunk != k))
        walk (id, member, data);
    }
  }
}

/* --- drafts -------------------------------------------------------------------------- */
static void
change_clear (gpointer p)
{
  json_decref (((Change *) p)->machines);
}

KrRecordUpdate *
kr_record_update_new (KrMachineRecords *records)
{
  KrRecordUpdate *draft = g_new (KrRecordUpdate, 1);
  *draft = (KrRecordUpdate){ records, g_array_new (FALSE, FALSE, sizeof (Change)) };
  g_array_set_clear_func (draft->changes, change_clear);
  return draft;
}

void
kr_record_update_free (KrRecordUpdate *draft)
{
  g_array_unref (draft->changes);
  g_free (draft);
}

/* A chunk as the draft would make it; NULL: untouched. */
static json_t *
drafted (const KrRecordUpdate *draft, guint shard, guint chunk)
{
  for (guint i = 0; i < draft->changes->len; i++) {
    const Change *c = &g_array_index (draft->changes, Change, i);
    if (c->shard == shard && c->chunk == chunk)
      return c->machines;
  }
  return NULL;
}

static json_t *
changed (KrRecordUpdate *draft, guint shard, guint chunk)
{
  json_t *machines = drafted (draft, shard, chunk);
  if (machines)
    return machines;
  const Chunk *old = known_chunk (draft->records, shard, chunk);
  /* Shallow: entries are never changed in place. */
  Change c = { shard, chunk, old && old->machines ? json_copy (old->machines) : json_object (),
               old ? old->revision : 0 };
  g_array_append_val (draft->changes, c);
  return c.machines;
}

/* Entries of a chunk as it would be. */
static guint
filled (const KrRecordUpdate *draft, guint shard, guint chunk)
{
  const json_t *machines = drafted (draft, shard, chunk);
  const Chunk *old = known_chunk (draft->records, shard, chunk);
  return (guint) json_object_size (machines ? machines : old ? old->machines : NULL);
}

void
kr_record_update_add (KrRecordUpdate *draft, guint shard, const char *machine, const char *address)
{
  guint chunk = 0;
  while (filled (draft, shard, chunk) >= draft->records->room)
    chunk++;
  json_object_set_new (changed (draft, shard, chunk), machine, json_string (address));
}

void
kr_record_update_set (KrRecordUpdate *draft, const char *machine, const char *address)
{
  const KrMachineRecord *member = kr_machine_records_find (draft->records, machine);
  if (member)
    json_object_set_new (changed (draft, member->shard, member->chunk), machine,
                         json_string (address));
}

void
kr_record_update_remove (KrRecordUpdate *draft, const char *machine)
{
  const KrMachineRecord *member = kr_machine_records_find (draft->records, machine);
  if (member)
    json_object_del (changed (draft, member->shard, member->chunk), machine);
}

void
kr_record_update_touch (KrRecordUpdate *draft, const char *machine)
{
  const KrMachineRecord *member = kr_machine_records_find (draft->records, machine);
  if (member)
    changed (draft, member->shard, member->chunk);
}

void
kr_record_update_touch_chunk (KrRecordUpdate *draft, const KrChunkVersion *mark)
{
  changed (draft, mark->shard, mark->chunk);
}

void
kr_record_update_remove_duplicates (KrRecordUpdate *draft, guint shard, const char *machine)
{
  const KrMachineRecord *member = kr_machine_records_find (draft->records, machine);
  for (guint k = 0; member && k < draft->records->shards[shard]->len; k++)
    if (entry (draft->records, shard, k, machine) && (member->shard != shard || member->chunk != k))
      json_object_del (changed (draft, shard, k), machine);
  kr_record_update_touch (draft, machine);
}

gboolean
kr_record_update_chunk_version (const KrRecordUpdate *draft, KrChunkVersion *mark)
{
  if (!draft->changes->len)
    return FALSE;
  const Change *first = &g_array_index (draft->changes, Change, 0);
  *mark = (KrChunkVersion){ first->shard, first->chunk, first->revision };
  return TRUE;
}

guint
kr_record_update_ops (const KrRecordUpdate *draft)
{
  return draft->changes->len;
}

void
kr_record_update_add_to_txn (const KrRecordUpdate *draft, KrTxn *txn)
{
  for (guint i = 0; i < draft->changes->len; i++) {
    const Change *c = &g_array_index (draft->changes, Change, i);
    g_autofree char *key = g_strdup_printf (PREFIX "%u/%u", c->shard, c->chunk);
    kr_txn_expect_revision (txn, key, c->revision);
    kr_txn_put (txn, key, json_incref (c->machines), 0);
  }
}

void
kr_record_update_committed (const KrRecordUpdate *draft, guint64 revision)
{
  for (guint i = 0; i < draft->changes->len; i++) {
    const Change *c = &g_array_index (draft->changes, Change, i);
    note (draft->records, c->shard, c->chunk, c->machines, revision);
  }
}
