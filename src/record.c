#include "record.h"
#include "constants.h"
#include "log.h"
#include <stdio.h>

#define PREFIX "c/berths/"

typedef struct {
  json_t *machines; /* id -> address or "" */
  guint64 revision;
} Chunk;

struct KrRecords {
  const KrSettings *settings;
  KrRecordEvents events;
  gpointer data;
  GArray **parts;    /* size: Chunk each */
  GHashTable *index; /* id -> KrMember */
  guint room;        /* machines a chunk */
};

typedef struct {
  guint part, chunk;
  json_t *machines;
  guint64 revision;
} Change;

struct KrDraft {
  KrRecords *records;
  GArray *changes; /* Change */
};

static void
chunk_clear (gpointer p)
{
  json_decref (((Chunk *) p)->machines);
}

KrRecords *
kr_records_new (const KrSettings *settings, const KrRecordEvents *events, gpointer data)
{
  KrRecords *records = g_new0 (KrRecords, 1);
  records->settings = settings;
  records->events = *events;
  records->data = data;
  records->parts = g_new0 (GArray *, settings->size);
  for (guint p = 0; p < settings->size; p++) {
    records->parts[p] = g_array_new (FALSE, TRUE, sizeof (Chunk));
    g_array_set_clear_func (records->parts[p], chunk_clear);
  }
  records->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  records->room = (guint) MIN (
      KR_CHUNK_MACHINES, (settings->state_value_kb * 1024 - KR_VALUE_SLACK) / KR_MACHINE_BYTES);
  return records;
}

void
kr_records_free (KrRecords *records)
{
  for (guint p = 0; p < records->settings->size; p++)
    g_array_unref (records->parts[p]);
  g_free (records->parts);
  g_hash_table_unref (records->index);
  g_free (records);
}

/* A chunk as it is known; NULL: there is none yet. */
static const Chunk *
known_chunk (const KrRecords *records, guint part, guint chunk)
{
  const GArray *all = records->parts[part];
  return chunk < all->len ? &g_array_index (all, Chunk, chunk) : NULL;
}

/* A machine's entry there: its address, "" or NULL (it is not there). */
static const char *
entry (const KrRecords *records, guint part, guint chunk, const char *id)
{
  const Chunk *known = known_chunk (records, part, chunk);
  json_t *o = known ? json_object_get (known->machines, id) : NULL;
  const char *address = json_string_value (o);
  return o && !address ? "" : address;
}

/* Of two chunks that hold a machine, the one to which it belongs. */
static gboolean
goes_before (const KrMember *a, const KrMember *b)
{
  gboolean a_used = *a->address != 0, b_used = *b->address != 0;
  if (a_used != b_used)
    return a_used;
  return a->part != b->part ? a->part < b->part : a->chunk < b->chunk;
}

/* The chunk to which the machine belongs, of all that are known. */
static gboolean
find_entry (const KrRecords *records, const char *id, KrMember *best)
{
  gboolean any = FALSE;
  for (guint p = 0; p < records->settings->size; p++)
    for (guint k = 0; k < records->parts[p]->len; k++) {
      const char *address = entry (records, p, k, id);
      if (!address)
        continue;
      KrMember found = { p, k, address, known_chunk (records, p, k)->revision };
      if (!any || goes_before (&found, best))
        *best = found;
      any = TRUE;
    }
  return any;
}

/* The machine stands in a chunk, which is known as that already. */
static void
note_entry (KrRecords *records, const char *id, const KrMember *found)
{
  KrMember *member = g_hash_table_lookup (records->index, id);
  if (!member) {
    g_hash_table_insert (records->index, g_strdup (id), g_memdup2 (found, sizeof *found));
    return;
  }
  gboolean same = member->part == found->part && member->chunk == found->chunk;
  if (same && *member->address && !*found->address) /* it may have been the one for that only */
    find_entry (records, id, member);
  else if (same || goes_before (found, member))
    *member = *found;
}

/* The machine stands no more in the chunk to which it belonged. TRUE: but in another one. */
static gboolean
note_gone (KrRecords *records, const char *id, KrMember *now_in)
{
  if (find_entry (records, id, now_in)) {
    *(KrMember *) g_hash_table_lookup (records->index, id) = *now_in;
    return TRUE;
  }
  records->events.left (id, records->data);
  g_hash_table_remove (records->index, id);
  return FALSE;
}

static void
note (KrRecords *records, guint part, guint chunk, json_t *machines, guint64 revision)
{
  g_autofree gboolean *joined = g_new0 (gboolean, records->settings->size);
  const char *id;
  json_t *o;

  if (chunk >= records->parts[part]->len)
    g_array_set_size (records->parts[part], chunk + 1);
  Chunk *c = &g_array_index (records->parts[part], Chunk, chunk);
  if (revision <= c->revision)
    return;
  json_t *before = c->machines;
  c->machines = json_incref (machines);
  c->revision = revision;
  json_object_foreach (machines, id, o)
  {
    const KrMember found = { part, chunk, json_string_value (o) ? json_string_value (o) : "",
                             revision };
    note_entry (records, id, &found);
  }
  /* After the additions: a machine that moved was noted at its new place, or will be. */
  json_object_foreach (before, id, o)
  {
    const KrMember *member = json_object_get (machines, id) ? NULL : kr_records_find (records, id);
    KrMember now_in;
    if (member && member->part == part && member->chunk == chunk &&
        note_gone (records, id, &now_in))
      joined[now_in.part] = TRUE;
  }
  json_decref (before);
  for (guint p = 0; p < records->settings->size; p++)
    if (p == part || joined[p])
      records->events.changed (p, records->data);
}

gboolean
kr_records_changed_since (KrRecords *records, const KrChunkMark *mark)
{
  const Chunk *known = known_chunk (records, mark->part, mark->chunk);
  return known && known->revision > mark->revision;
}

void
kr_records_note (KrRecords *records, const KrItem *item)
{
  guint part, chunk;
  if (!item->value || sscanf (item->key, PREFIX "%u/%u", &part, &chunk) != 2 ||
      part >= records->settings->size || chunk >= KR_CHUNKS_MAX)
    return;
  if (json_is_object (item->value)) {
    note (records, part, chunk, item->value, item->revision);
    return;
  }
  /* Guards against a value that is none of ours: all its machines would count as gone. What was
   * known stays, under the new revision, so that the next write of the chunk puts it right. */
  kr_info ("state: %s is malformed, left as it was known", item->key);
  json_t *known = chunk < records->parts[part]->len
                      ? g_array_index (records->parts[part], Chunk, chunk).machines
                      : NULL;
  json_t *machines = known ? json_incref (known) : json_object ();
  note (records, part, chunk, machines, item->revision);
  json_decref (machines);
}

const KrMember *
kr_records_find (KrRecords *records, const char *machine)
{
  return g_hash_table_lookup (records->index, machine);
}

void
kr_records_walk_all (KrRecords *records, KrRecordWalk walk, gpointer data)
{
  GHashTableIter it;
  gpointer id, value;
  g_hash_table_iter_init (&it, records->index);
  while (g_hash_table_iter_next (&it, &id, &value))
    walk (id, value, data);
}

void
kr_records_walk (KrRecords *records, guint part, KrRecordWalk walk, gpointer data)
{
  for (guint k = 0; k < records->parts[part]->len; k++) {
    const char *id;
    json_t *o;
    json_object_foreach (g_array_index (records->parts[part], Chunk, k).machines, id, o)
    {
      const KrMember *member = kr_records_find (records, id);
      if (member && member->part == part)
        walk (id, member, data);
    }
  }
}

void
kr_records_walk_strays (KrRecords *records, guint part, KrRecordWalk walk, gpointer data)
{
  for (guint k = 0; k < records->parts[part]->len; k++) {
    const char *id;
    json_t *o;
    json_object_foreach (g_array_index (records->parts[part], Chunk, k).machines, id, o)
    {
      const KrMember *member = kr_records_find (records, id);
      if (member && (member->part != part || member->chunk != k))
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

KrDraft *
kr_draft_new (KrRecords *records)
{
  KrDraft *draft = g_new (KrDraft, 1);
  *draft = (KrDraft){ records, g_array_new (FALSE, FALSE, sizeof (Change)) };
  g_array_set_clear_func (draft->changes, change_clear);
  return draft;
}

void
kr_draft_free (KrDraft *draft)
{
  g_array_unref (draft->changes);
  g_free (draft);
}

/* A chunk as the draft would make it; NULL: untouched. */
static json_t *
drafted (const KrDraft *draft, guint part, guint chunk)
{
  for (guint i = 0; i < draft->changes->len; i++) {
    const Change *c = &g_array_index (draft->changes, Change, i);
    if (c->part == part && c->chunk == chunk)
      return c->machines;
  }
  return NULL;
}

static json_t *
changed (KrDraft *draft, guint part, guint chunk)
{
  json_t *machines = drafted (draft, part, chunk);
  if (machines)
    return machines;
  const Chunk *old = known_chunk (draft->records, part, chunk);
  /* Shallow: entries are never changed in place. */
  Change c = { part, chunk, old && old->machines ? json_copy (old->machines) : json_object (),
               old ? old->revision : 0 };
  g_array_append_val (draft->changes, c);
  return c.machines;
}

/* Entries of a chunk as it would be. */
static guint
filled (const KrDraft *draft, guint part, guint chunk)
{
  const json_t *machines = drafted (draft, part, chunk);
  const Chunk *old = known_chunk (draft->records, part, chunk);
  return (guint) json_object_size (machines ? machines : old ? old->machines : NULL);
}

void
kr_draft_add (KrDraft *draft, guint part, const char *machine, const char *address)
{
  guint chunk = 0;
  while (filled (draft, part, chunk) >= draft->records->room)
    chunk++;
  json_object_set_new (changed (draft, part, chunk), machine, json_string (address));
}

void
kr_draft_set (KrDraft *draft, const char *machine, const char *address)
{
  const KrMember *member = kr_records_find (draft->records, machine);
  if (member)
    json_object_set_new (changed (draft, member->part, member->chunk), machine,
                         json_string (address));
}

void
kr_draft_remove (KrDraft *draft, const char *machine)
{
  const KrMember *member = kr_records_find (draft->records, machine);
  if (member)
    json_object_del (changed (draft, member->part, member->chunk), machine);
}

void
kr_draft_touch (KrDraft *draft, const char *machine)
{
  const KrMember *member = kr_records_find (draft->records, machine);
  if (member)
    changed (draft, member->part, member->chunk);
}

void
kr_draft_touch_chunk (KrDraft *draft, const KrChunkMark *mark)
{
  changed (draft, mark->part, mark->chunk);
}

void
kr_draft_remove_stray (KrDraft *draft, guint part, const char *machine)
{
  const KrMember *member = kr_records_find (draft->records, machine);
  for (guint k = 0; member && k < draft->records->parts[part]->len; k++)
    if (entry (draft->records, part, k, machine) && (member->part != part || member->chunk != k))
      json_object_del (changed (draft, part, k), machine);
  kr_draft_touch (draft, machine);
}

gboolean
kr_draft_mark (const KrDraft *draft, KrChunkMark *mark)
{
  if (!draft->changes->len)
    return FALSE;
  const Change *first = &g_array_index (draft->changes, Change, 0);
  *mark = (KrChunkMark){ first->part, first->chunk, first->revision };
  return TRUE;
}

guint
kr_draft_ops (const KrDraft *draft)
{
  return draft->changes->len;
}

void
kr_draft_write (const KrDraft *draft, KrTxn *txn)
{
  for (guint i = 0; i < draft->changes->len; i++) {
    const Change *c = &g_array_index (draft->changes, Change, i);
    g_autofree char *key = g_strdup_printf (PREFIX "%u/%u", c->part, c->chunk);
    kr_txn_when (txn, key, c->revision);
    kr_txn_put (txn, key, json_incref (c->machines), 0);
  }
}

void
kr_draft_done (const KrDraft *draft, guint64 revision)
{
  for (guint i = 0; i < draft->changes->len; i++) {
    const Change *c = &g_array_index (draft->changes, Change, i);
    note (draft->records, c->part, c->chunk, c->machines, revision);
  }
}
