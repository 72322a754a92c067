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
  KrRecords *r = g_new0 (KrRecords, 1);
  r->settings = settings;
  r->events = *events;
  r->data = data;
  r->parts = g_new0 (GArray *, settings->size);
  for (guint p = 0; p < settings->size; p++) {
    r->parts[p] = g_array_new (FALSE, TRUE, sizeof (Chunk));
    g_array_set_clear_func (r->parts[p], chunk_clear);
  }
  r->index = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->room = (guint) MIN (KR_CHUNK_MACHINES,
                         (settings->state_value_kb * 1024 - KR_VALUE_SLACK) / KR_MACHINE_BYTES);
  return r;
}

void
kr_records_free (KrRecords *r)
{
  for (guint p = 0; p < r->settings->size; p++)
    g_array_unref (r->parts[p]);
  g_free (r->parts);
  g_hash_table_unref (r->index);
  g_free (r);
}

static void
note (KrRecords *r, guint part, guint chunk, json_t *machines, guint64 revision)
{
  const char *id;
  json_t *o;

  if (chunk >= r->parts[part]->len)
    g_array_set_size (r->parts[part], chunk + 1);
  Chunk *c = &g_array_index (r->parts[part], Chunk, chunk);
  if (revision <= c->revision)
    return;
  json_t *before = c->machines;
  c->machines = json_incref (machines);
  c->revision = revision;
  json_object_foreach (machines, id, o)
  {
    KrMember *m = g_hash_table_lookup (r->index, id);
    if (!m)
      g_hash_table_insert (r->index, g_strdup (id), m = g_new (KrMember, 1));
    *m = (KrMember){ part, chunk, json_string_value (o) ? json_string_value (o) : "", revision };
  }
  /* After the additions: a machine that moved was noted at its new place, or will be. */
  json_object_foreach (before, id, o)
  {
    const KrMember *m = json_object_get (machines, id) ? NULL : kr_records_find (r, id);
    if (m && m->part == part && m->chunk == chunk) {
      r->events.left (id, r->data);
      g_hash_table_remove (r->index, id);
    }
  }
  json_decref (before);
  r->events.changed (part, r->data);
}

void
kr_records_note (KrRecords *r, const KrItem *item)
{
  guint part, chunk;
  if (!item->value || sscanf (item->key, PREFIX "%u/%u", &part, &chunk) != 2 ||
      part >= r->settings->size || chunk >= KR_CHUNKS_MAX)
    return;
  if (json_is_object (item->value)) {
    note (r, part, chunk, item->value, item->revision);
    return;
  }
  /* Guards against a value that is none of ours: all its machines would count as gone. What was
   * known stays, under the new revision, so that the next write of the chunk puts it right. */
  kr_info ("state: %s is malformed, left as it was known", item->key);
  json_t *known =
      chunk < r->parts[part]->len ? g_array_index (r->parts[part], Chunk, chunk).machines : NULL;
  json_t *machines = known ? json_incref (known) : json_object ();
  note (r, part, chunk, machines, item->revision);
  json_decref (machines);
}

const KrMember *
kr_records_find (KrRecords *r, const char *machine)
{
  return g_hash_table_lookup (r->index, machine);
}

void
kr_records_walk_all (KrRecords *r, KrRecordWalk walk, gpointer data)
{
  GHashTableIter it;
  gpointer id, value;
  g_hash_table_iter_init (&it, r->index);
  while (g_hash_table_iter_next (&it, &id, &value))
    walk (id, value, data);
}

void
kr_records_walk (KrRecords *r, guint part, KrRecordWalk walk, gpointer data)
{
  for (guint k = 0; k < r->parts[part]->len; k++) {
    const char *id;
    json_t *o;
    json_object_foreach (g_array_index (r->parts[part], Chunk, k).machines, id, o)
    {
      const KrMember *m = kr_records_find (r, id);
      if (m && m->part == part)
        walk (id, m, data);
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
  KrDraft *d = g_new (KrDraft, 1);
  *d = (KrDraft){ records, g_array_new (FALSE, FALSE, sizeof (Change)) };
  g_array_set_clear_func (d->changes, change_clear);
  return d;
}

void
kr_draft_free (KrDraft *d)
{
  g_array_unref (d->changes);
  g_free (d);
}

/* A chunk as the draft would make it; NULL: untouched. */
static json_t *
drafted (const KrDraft *d, guint part, guint chunk)
{
  for (guint i = 0; i < d->changes->len; i++) {
    const Change *c = &g_array_index (d->changes, Change, i);
    if (c->part == part && c->chunk == chunk)
      return c->machines;
  }
  return NULL;
}

/* A chunk as it is known; NULL: there is none yet. */
static const Chunk *
known (const KrDraft *d, guint part, guint chunk)
{
  const GArray *all = d->records->parts[part];
  return chunk < all->len ? &g_array_index (all, Chunk, chunk) : NULL;
}

static json_t *
changed (KrDraft *d, guint part, guint chunk)
{
  json_t *machines = drafted (d, part, chunk);
  if (machines)
    return machines;
  const Chunk *old = known (d, part, chunk);
  /* Shallow: entries are never changed in place. */
  Change c = { part, chunk, old && old->machines ? json_copy (old->machines) : json_object (),
               old ? old->revision : 0 };
  g_array_append_val (d->changes, c);
  return c.machines;
}

/* Entries of a chunk as it would be. */
static guint
filled (const KrDraft *d, guint part, guint chunk)
{
  const json_t *machines = drafted (d, part, chunk);
  const Chunk *old = known (d, part, chunk);
  return (guint) json_object_size (machines ? machines : old ? old->machines : NULL);
}

void
kr_draft_add (KrDraft *d, guint part, const char *machine, const char *address)
{
  guint chunk = 0;
  while (filled (d, part, chunk) >= d->records->room)
    chunk++;
  json_object_set_new (changed (d, part, chunk), machine, json_string (address));
}

void
kr_draft_set (KrDraft *d, const char *machine, const char *address)
{
  const KrMember *m = kr_records_find (d->records, machine);
  if (m)
    json_object_set_new (changed (d, m->part, m->chunk), machine, json_string (address));
}

void
kr_draft_remove (KrDraft *d, const char *machine)
{
  const KrMember *m = kr_records_find (d->records, machine);
  if (m)
    json_object_del (changed (d, m->part, m->chunk), machine);
}

void
kr_draft_touch (KrDraft *d, const char *machine)
{
  const KrMember *m = kr_records_find (d->records, machine);
  if (m)
    changed (d, m->part, m->chunk);
}

guint
kr_draft_ops (const KrDraft *d)
{
  return d->changes->len;
}

void
kr_draft_write (const KrDraft *d, KrTxn *txn)
{
  for (guint i = 0; i < d->changes->len; i++) {
    const Change *c = &g_array_index (d->changes, Change, i);
    g_autofree char *key = g_strdup_printf (PREFIX "%u/%u", c->part, c->chunk);
    kr_txn_when (txn, key, c->revision);
    kr_txn_put (txn, key, json_incref (c->machines), 0);
  }
}

void
kr_draft_done (const KrDraft *d, guint64 revision)
{
  for (guint i = 0; i < d->changes->len; i++) {
    const Change *c = &g_array_index (d->changes, Change, i);
    note (d->records, c->part, c->chunk, c->machines, revision);
  }
}
