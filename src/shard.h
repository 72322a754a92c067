/* A shard owned by this node: its jobs and machines, the attempts on them, and what of this is
 * durable. Each shard has one owner at a time, which holds its key in the state service. */
#pragma once
#include "machine.h"
#include "http-server.h"
#include "job.h"
#include "node.h"

/* Begins the takeover of a shard whose key this node holds under `token`. Free with
 * kr_shard_close(). */
KrShard *kr_shard_new (KrNode *node, guint index, guint64 token);
/* Stops all work on a shard that this node no longer owns, and drops the reference. */
void kr_shard_close (KrShard *shard);
/* Returns the revision of the owner key under which this node holds the shard. */
guint64 kr_shard_token (KrShard *shard);
/* This node has replaced its own key by a newer one, without a gap in ownership. */
void kr_shard_set_token (KrShard *shard, guint64 token);

/* All jobs below job/ have been listed. `items`: array of values for kr_wire_key_value_parse(). */
void kr_shard_jobs_listed (KrShard *shard, json_t *items);
/* A job's key was written. */
void kr_shard_job_event (KrShard *shard, const KrKeyValue *item);
/* The stored machine record of the shard has changed. */
void kr_shard_record_changed (KrShard *shard);
/* All keys below c/ have been listed again. */
void kr_shard_membership_relisted (KrShard *shard);
/* The cloud's machine list has been read. `by_id`: id -> KrListedMachine. */
void kr_shard_machines_listed (KrShard *shard, GHashTable *by_id);

/* Handles a worker's report. Takes ownership of `request`. */
void kr_shard_handle_report (KrShard *shard, KrRequest *request, const KrReport *report);
/* An owner's answer to the request to act on a committed cancellation. */
typedef enum {
  KR_CANCEL_CONFIRMED,   /* no task of the job starts any more, the running ones are being killed */
  KR_CANCEL_PENDING,     /* a task may still start: unconfirmed, or its image is being pulled */
  KR_CANCEL_NO_SUCH_JOB, /* the job is not known here: not read yet, or ended */
  /* The asked node does not own the shard, owns it under a key older than `owner`, or the shard is
   * not open. */
  KR_CANCEL_NOT_OWNER,
  KR_CANCEL_NO_ANSWER /* set by the asking node: there was no answer */
} KrCancelStatus;
/* Acts at once on a cancellation, without the state service. The cancellation was committed in the
 * job's revision `revision`, when the shard's owner key had the revision `owner`. */
KrCancelStatus kr_shard_cancel_job (KrShard *shard, const char *id, guint64 owner,
                                    guint64 revision);
/* The same between nodes. Body: {"Part","Job","Owner","Revision"}; the HTTP status stands for the
 * KrCancelStatus. */
#define KR_PEER_CANCELLATIONS "/cancellations"
/* Returns the body, which the caller owns. */
json_t *kr_cancel_request_new (guint shard, const char *id, guint64 owner, guint64 revision);
/* Returns the HTTP status of the response. */
guint kr_cancel_handle_request (KrNode *node, json_t *request);
KrCancelStatus kr_cancel_status_from_http (guint status);

/* Sent by a shard's new owner to a former one. Body: {"Part","Owner","Token"}. A 200 confirms that
 * no process of the asked node answers the shard's machines under a lower token any more. */
#define KR_PEER_TAKEOVERS "/takeovers"
/* Returns the HTTP status of the response. */
guint kr_takeover_handle_request (KrNode *node, json_t *request);

/* Stores the numbers of a job's completed and active tasks. Returns FALSE if the job is not known
 * here. */
gboolean kr_shard_job_counts (KrShard *shard, const char *id, guint *done, guint *running);

/* Returns the number of puts and deletes that are due for the ends of jobs and not sent yet. */
guint kr_shard_pending_end_writes (KrShard *shard);

/* Returns the number of machines visited so far by walks over all of them; tests check it. */
guint64 kr_shard_machine_visits (KrShard *shard);

/* Returns the message with the summary for the leader (see shard-summary.h). The caller frees it
 * with json_decref(). */
json_t *kr_shard_summary (KrShard *shard);
/* Marks a machine to be moved to the shard `to`; this shard's own index removes the mark. */
void kr_shard_mark_for_move (KrShard *shard, const char *id, guint to);
/* Moves the machines that are marked and empty, as many as one transaction allows. */
void kr_shard_move_marked (KrShard *shard);
/* Returns a machine to the cloud if it is empty and not marked for a move. */
void kr_shard_return_machine (KrShard *shard, const char *id);
