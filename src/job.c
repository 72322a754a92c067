#include "job.h"
#include "constants.h"
#include <string.h>

KrJob *
kr_job_new (KrJobSpec *spec, double submitted_at, guint shard)
{
  KrJob *job = g_new0 (KrJob, 1);
  job->spec = spec;
  job->submitted_at = submitted_at;
  job->shard = shard;
  job->done = g_malloc0 (kr_job_bitmap_bytes (job));
  job->persisted = g_malloc0 (kr_job_bitmap_bytes (job));
  job->active = g_malloc0 (spec->tasks);
  job->backoff_s = KR_JOB_BACKOFF_S;
  job->failed_on = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return job;
}

void
kr_job_free (KrJob *job)
{
  kr_job_spec_free (job->spec);
  g_free (job->done);
  g_free (job->persisted);
  g_free (job->active);
  g_hash_table_unref (job->failed_on);
  g_free (job);
}

gsize
kr_job_bitmap_bytes (const KrJob *job)
{
  return (job->spec->tasks + 7) / 8;
}

/* Returns the greatest length of the text in JSON; 0 for NULL. */
static gsize
json_max_bytes (const char *text)
{
  return text ? strlen (text) * KR_JSON_CHARACTER_MAX_BYTES : 0;
}

gsize
kr_job_stored_max_bytes (const KrJob *job)
{
  const KrJobSpec *spec = job->spec;
  gsize bytes = KR_VALUE_JOB_FIELDS_BYTES + kr_job_bitmap_bytes (job) * 4 / 3;
  bytes += json_max_bytes (spec->id) + json_max_bytes (spec->job_class) +
           json_max_bytes (spec->team) + json_max_bytes (spec->image) + json_max_bytes (spec->zone);
  for (char **type = spec->types; type && *type; type++)
    bytes += json_max_bytes (*type) + strlen (",\"\"");
  return bytes;
}

gboolean
kr_job_fits_store (const KrJob *job, json_t *value, double value_kb)
{
  gsize limit = (gsize) MIN (value_kb * 1024, KR_JOB_VALUE_MAX_BYTES) - KR_VALUE_SLACK_BYTES;
  if (kr_job_stored_max_bytes (job) <= limit)
    return TRUE;
  g_autofree char *text = kr_json_encode (value);
  return strlen (text) <= limit;
}

char *
kr_job_key (const char *id)
{
  return g_strconcat ("job/", id, NULL);
}

char *
kr_job_final_key (const char *id)
{
  return g_strconcat ("end/", id, NULL);
}

char *
kr_job_chunk_key (const char *id, guint chunk)
{
  return g_strdup_printf ("done/%s/%u", id, chunk);
}

guint
kr_job_chunk_count (const KrJob *job)
{
  return MAX (1, (job->spec->tasks + KR_DONE_CHUNK_BITS - 1) / KR_DONE_CHUNK_BITS);
}

/* Returns the offset of a chunk in the bitmap and its `length`, both in bytes. KR_DONE_CHUNK_BITS
 * is a multiple of 8. */
static gsize
chunk_range (const KrJob *job, guint chunk, gsize *length)
{
  gsize offset = (gsize) chunk * (KR_DONE_CHUNK_BITS / 8), total = kr_job_bitmap_bytes (job);
  *length = offset < total ? MIN ((gsize) KR_DONE_CHUNK_BITS / 8, total - offset) : 0;
  return offset;
}

json_t *
kr_job_chunk_encode (const KrJob *job, const guint8 *done, guint chunk)
{
  gsize length, offset = chunk_range (job, chunk, &length);
  g_autofree char *base64 = g_base64_encode (done + offset, length);
  return json_string (base64);
}

void
kr_job_chunk_merge (KrJob *job, guint chunk, json_t *base64)
{
  gsize length, decoded = 0, offset = chunk_range (job, chunk, &length);
  if (!json_is_string (base64) || !*json_string_value (base64))
    return;
  g_autofree guchar *bytes = g_base64_decode (json_string_value (base64), &decoded);
  for (gsize i = 0; i < MIN (length, decoded); i++)
    for (guint bit = 0; bit < 8; bit++) {
      guint task = (guint) ((offset + i) * 8 + bit);
      if ((bytes[i] >> bit & 1) && task < job->spec->tasks) {
        kr_job_set_done (job, task);
        job->persisted[offset + i] |= (guint8) (1u << bit);
      }
    }
}

json_t *
kr_job_encode (const KrJob *job, const guint8 *done, guint running)
{
  guint done_count = 0;
  for (guint task = 0; task < job->spec->tasks; task++)
    done_count += done[task / 8] >> (task % 8) & 1;
  return json_pack ("{so sf sI sb sf sI sI sI so}", "Spec", kr_wire_spec_build (job->spec), "At",
                    job->submitted_at, "Part", (json_int_t) job->shard, "Cancelled", job->cancelled,
                    "Sum", job->timed_sum_s, "Count", (json_int_t) job->timed_count, "N",
                    (json_int_t) done_count, "R", (json_int_t) running, "Done",
                    kr_job_chunk_encode (job, done, 0));
}

KrJob *
kr_job_decode (json_t *value, guint64 revision)
{
  KrJobSpec *spec = kr_wire_spec_parse (json_object_get (value, "Spec"), NULL);
  if (!spec)
    return NULL;
  KrJob *job = kr_job_new (spec, kr_json_number (json_object_get (value, "At")),
                           (guint) kr_json_uint (json_object_get (value, "Part")));
  job->revision = revision;
  job->cancelled = json_is_true (json_object_get (value, "Cancelled"));
  job->timed_sum_s = kr_json_number (json_object_get (value, "Sum"));
  job->timed_count = (guint) kr_json_uint (json_object_get (value, "Count"));
  kr_job_chunk_merge (job, 0, json_object_get (value, "Done"));
  job->chunks_missing = kr_job_chunk_count (job) - 1;
  return job;
}

json_t *
kr_job_final_value (KrJobState state, guint done)
{
  return json_pack ("{ss sI}", "End", kr_wire_job_state (state), "N", (json_int_t) done);
}

gboolean
kr_job_parse_status (json_t *value, KrJobState *state, guint *done, guint *running)
{
  const char *end = json_string_value (json_object_get (value, "End"));
  *done = (guint) kr_json_uint (json_object_get (value, "N"));
  *running = 0;
  if (end) {
    *state = g_str_equal (end, kr_wire_job_state (KR_JOB_DONE)) ? KR_JOB_DONE : KR_JOB_CANCELLED;
    return TRUE;
  }
  if (!json_is_object (json_object_get (value, "Spec")))
    return FALSE;
  *running = (guint) kr_json_uint (json_object_get (value, "R"));
  *state = json_is_true (json_object_get (value, "Cancelled")) ? KR_JOB_CANCELLED
           : *running                                          ? KR_JOB_RUNNING
                                                               : KR_JOB_PENDING;
  return TRUE;
}

guint
kr_job_parse_shard (json_t *value)
{
  return (guint) kr_json_uint (json_object_get (value, "Part"));
}

json_t *
kr_job_cancel_value (json_t *value, guint64 owner)
{
  json_t *cancelled = json_deep_copy (value);
  json_object_set_new (cancelled, "Cancelled", json_true ());
  json_object_set_new (cancelled, "CancelledUnder", json_integer ((json_int_t) owner));
  return cancelled;
}

gboolean
kr_job_parse_cancellation (json_t *value, guint *shard, guint64 *owner)
{
  *shard = kr_job_parse_shard (value);
  *owner = kr_json_uint (json_object_get (value, "CancelledUnder"));
  return json_is_object (json_object_get (value, "Spec")) &&
         json_is_true (json_object_get (value, "Cancelled"));
}

gboolean
kr_job_is_done (const KrJob *job, guint task)
{
  return task < job->spec->tasks && (job->done[task / 8] >> (task % 8) & 1);
}

gboolean
kr_job_is_persisted (const KrJob *job, guint task)
{
  return task < job->spec->tasks && (job->persisted[task / 8] >> (task % 8) & 1);
}

void
kr_job_set_done (KrJob *job, guint task)
{
  if (task < job->spec->tasks && !kr_job_is_done (job, task)) {
    job->done[task / 8] |= (guint8) (1u << (task % 8));
    job->n_done++;
  }
}

void
kr_job_add_active (KrJob *job, guint task)
{
  if (task < job->spec->tasks && job->active[task] < G_MAXUINT8 && job->active[task]++ == 0)
    job->n_active++;
}

void
kr_job_remove_active (KrJob *job, guint task)
{
  if (task < job->spec->tasks && job->active[task] && --job->active[task] == 0) {
    job->n_active--;
    job->cursor = MIN (job->cursor, task);
  }
}

guint
kr_job_unstarted (const KrJob *job)
{
  /* A task can be both completed and active only after a takeover, with an attempt elsewhere. Such
   * a task is subtracted twice, hence the check below. */
  guint taken = job->n_done + job->n_active;
  return taken < job->spec->tasks ? job->spec->tasks - taken : 0;
}

gint64
kr_job_next_task (KrJob *job)
{
  for (; job->cursor < job->spec->tasks; job->cursor++)
    if (!job->active[job->cursor] && !kr_job_is_done (job, job->cursor))
      return job->cursor;
  return -1;
}

gboolean
kr_job_is_suspect (const KrJob *job)
{
  return g_hash_table_size (job->failed_on) >= KR_JOB_BACKOFF_MACHINES;
}

void
kr_job_clear_failures (KrJob *job)
{
  g_hash_table_remove_all (job->failed_on);
  job->backoff_until = 0;
  job->backoff_s = KR_JOB_BACKOFF_S;
  job->probing = FALSE;
}

gboolean
kr_job_is_complete (const KrJob *job)
{
  return job->n_done == job->spec->tasks;
}
