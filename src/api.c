#include "api-private.h"
#include "clock.h"
#include "constants.h"
#include "job.h"
#include "shard.h"
#include "placement.h"
#include <math.h>

KrApi *
kr_api_new (KrNode *node)
{
  KrApi *api = g_new0 (KrApi, 1);
  api->node = node;
  api->cancel = kr_cancellable_new_child (node->cancel);
  api->final_cache = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&api->final_order);
  api->active_polls = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  api->metrics = kr_poll_metrics_new ();
  api->view = kr_job_view_new (node->state_client, api->cancel);
  return api;
}

void
kr_api_free (KrApi *api)
{
  g_cancellable_cancel (api->cancel);
  kr_job_view_free (api->view);
}

/* --- submit -------------------------------------------------------------------------- */
static void
submit_lookup_done (KrApiCall *call, gboolean known, KrKeyValue *item)
{
  /* The write had an unknown outcome and may still be applied, so a missing key proves nothing. */
  if (!known || !item)
    kr_api_reply_unavailable (call, KR_UNANSWERED_KEY_UNREAD);
  else
    kr_api_reply_stored (call, item);
}

static void
submit_committed (guint status, json_t *body, gpointer data)
{
  KrApiCall *call = data;
  if (status == 200)
    kr_api_reply (call, 201, kr_wire_job_answer (call->id, KR_JOB_PENDING, FALSE, 0, 0), 0);
  else if (status == 409 || status == 0)
    kr_api_lookup_job (call, submit_lookup_done);
  else
    kr_api_reply_unavailable (call, KR_UNANSWERED_KEY_UNREAD);
}

/* Returns whether the job can never run, and why. */
static gboolean
is_impossible (KrApi *api, const KrJobSpec *spec, KrRefusalReason *reason)
{
  const KrTeam *team = kr_settings_team (api->node->settings, spec->team);
  gboolean fits = FALSE;
  if (!team) {
    *reason = KR_REFUSAL_UNKNOWN_TEAM;
    return TRUE;
  }
  for (guint i = 0; i < api->node->machine_types->len; i++)
    fits |= kr_placement_fits_type (spec, api->node->machine_types->pdata[i]);
  *reason = fits ? KR_REFUSAL_OVER_TEAM_LIMIT : KR_REFUSAL_NO_FITTING_TYPE;
  return !fits || !kr_placement_job_within_quota (team, spec);
}

/* Answers 400. */
static void
reply_malformed (KrApi *api, KrRequest *request, const char *field)
{
  const char *id = kr_wire_job_id (kr_request_json (request));
  kr_node_note_malformed (api->node, request, "submission", id, field);
  kr_request_reply (request, 400, kr_wire_error (field), 0);
}

/* Answers 422. */
static void
reply_impossible (KrApi *api, KrRequest *request, const KrJobSpec *spec, KrRefusalReason reason)
{
  const char *detail = reason == KR_REFUSAL_NO_FITTING_TYPE ? NULL : spec->team;
  kr_refusal_log_note (api->node->refusals, &(KrRefusal){ reason, "submission", spec->id, detail,
                                                          kr_request_body_bytes (request) });
  kr_request_reply (request, 422, kr_wire_error (kr_refusal_reason_text (reason)), 0);
}

/* Takes over `spec`. */
static void
store_job (KrApi *api, KrRequest *request, KrJobSpec *spec)
{
  const KrSettings *settings = api->node->settings;
  g_autofree char *key = kr_job_key (spec->id), *final_key = kr_job_final_key (spec->id);
  guint shard = kr_settings_shard_of_team (settings, spec->team);
  g_autoptr (KrJob) job = kr_job_new (spec, kr_wall_clock_s (), shard);
  json_t *value = kr_job_encode (job, job->done, 0);
  if (!kr_job_fits_store (job, value, settings->state_value_kb)) {
    reply_impossible (api, request, spec, KR_REFUSAL_TOO_LARGE_TO_STORE);
    json_decref (value);
    return;
  }
  kr_request_discard_json (request);
  KrApiCall *call =
      kr_api_call_new (api, request, KR_ROUTE_SUBMIT, spec->id, KR_USER_WRITE_DEADLINE_MS);
  KrTxn *txn = kr_txn_new ();
  kr_txn_expect_revision (txn, key, 0);
  kr_txn_expect_revision (txn, final_key, 0);
  kr_txn_put (txn, key, value, 0);
  kr_api_call_count (call);
  kr_state_commit (api->node->state_client, txn, KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS, api->cancel,
                   submit_committed, call);
}

void
kr_api_submit (KrApi *api, KrRequest *request)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (KrJobSpec) spec = kr_wire_spec_parse (kr_request_json (request), &error);
  KrRefusalReason reason;
  KrStateClient *state = api->node->state_client;

  if (!spec)
    reply_malformed (api, request, error->message);
  else if (kr_api_reply_from_cache (api, request, spec->id, FALSE))
    return;
  else if (!api->node->machine_types)
    kr_request_reply (request, 503, kr_wire_error ("machine types are not yet known"),
                      KR_RETRY_AFTER_S);
  else if (is_impossible (api, spec, &reason))
    reply_impossible (api, request, spec, reason);
  else if (kr_api_is_overloaded (api, KR_ROUTE_SUBMIT))
    kr_api_refuse (request);
  else if (kr_state_write_wait (state) > KR_USER_WRITE_WAIT_MAX_S)
    kr_request_reply (request, 429, kr_wire_error ("too many writes"),
                      (guint) ceil (kr_state_write_wait (state)));
  else
    store_job (api, request, g_steal_pointer (&spec));
}

/* --- abort --------------------------------------------------------------------------- */
static void abort_lookup_done (KrApiCall *call, gboolean known, KrKeyValue *item);

static void
abort_committed (guint status, json_t *body, gpointer data)
{
  KrApiCall *call = data;
  g_autofree char *owner_key = kr_membership_owner_key (call->shard);
  if (status == 200) {
    call->cancel_revision = kr_wire_revision (body);
    kr_api_confirm_cancellation (call);
  } else if (status == 409 && kr_wire_commit_failed_on (body, owner_key))
    kr_api_retry_later (call,
                        kr_api_retry_lookup); /* the watch shows the new owner within a round */
  else if ((status == 409 || status == 0) && kr_now () < call->deadline)
    kr_api_lookup_job (call, abort_lookup_done);
  else
    kr_api_reply_unavailable (call, KR_UNANSWERED_KEY_UNREAD);
}

static void
abort_lookup_done (KrApiCall *call, gboolean known, KrKeyValue *item)
{
  KrJobState state;
  guint running;

  if (!known)
    kr_api_reply_unavailable (call, KR_UNANSWERED_KEY_UNREAD);
  else if (!item)
    kr_api_reply (call, 404, kr_wire_error ("no such job"), 0);
  else if (!kr_job_parse_status (item->value, &state, &call->done, &running) ||
           state >= KR_JOB_DONE ||
           (call->shard = kr_job_parse_shard (item->value)) >=
               call->api->node->settings->shard_count)
    kr_api_reply_stored (call, item);
  else {
    /* Commits only if the shard still has the owner that is asked next. Later owners read the
     * cancellation when they take over. */
    const KrHolder *holder = kr_membership_holder (call->api->node->membership, call->shard);
    g_autofree char *key = kr_job_key (call->id),
                    *owner_key = kr_membership_owner_key (call->shard);
    KrTxn *txn = kr_txn_new ();
    call->owner_revision = holder->node ? holder->revision : 0;
    kr_txn_expect_revision (txn, key, item->revision);
    kr_txn_expect_revision (txn, owner_key, call->owner_revision);
    kr_txn_put (txn, key, kr_job_cancel_value (item->value, call->owner_revision), 0);
    kr_state_commit (call->api->node->state_client, txn, KR_QUEUE_HIGH,
                     kr_api_call_remaining_ms (call, KR_STATE_TIMEOUT_MS), call->api->cancel,
                     abort_committed, call);
  }
}

void
kr_api_abort (KrApi *api, KrRequest *request, const char *id)
{
  if (!kr_wire_is_job_id (id))
    kr_request_reply (request, 404, kr_wire_error ("no such job"), 0);
  else if (kr_api_reply_from_cache (api, request, id, FALSE))
    return;
  else if (kr_api_is_overloaded (api, KR_ROUTE_ABORT))
    kr_api_refuse (request);
  else
    kr_api_lookup_job (
        kr_api_call_new (api, request, KR_ROUTE_ABORT, id, KR_USER_WRITE_DEADLINE_MS),
        abort_lookup_done);
}
