/* An owned part: its jobs and machines, what runs where, and what of it is durable. */
#pragma once
#include "machine.h"
#include "http-server.h"
#include "job.h"
#include "node.h"

/* Begins a takeover under `token`. */
KrShard *kr_shard_new (KrNode *node, guint index, guint64 token);
/* We hold it no longer: forgets everything. */
void kr_shard_close (KrShard *shard);
guint64 kr_shard_token (KrShard *shard);
/* Our key was renewed by ourselves, without a gap. */
void kr_shard_set_token (KrShard *shard, guint64 token);

void kr_shard_jobs_listed (KrShard *shard, json_t *items);
void kr_shard_job_event (KrShard *shard, const KrKeyValue *item);
void kr_shard_record_changed (KrShard *shard);
/* All of c/ was read anew. */
void kr_shard_membership_relisted (KrShard *shard);
void kr_shard_machines_listed (KrShard *shard, GHashTable *by_id); /* id -> KrListedMachine */

/* Takes over `request`. */
void kr_shard_handle_report (KrShard *shard, KrRequest *request, const KrReport *report);
/* What an owner says when it is asked to act on a committed cancellation. */
typedef enum {
  KR_CANCEL_CONFIRMED,   /* nothing of the job starts any more, and what runs is being stopped */
  KR_CANCEL_PENDING,     /* a launch may still start: its machine has not said */
  KR_CANCEL_NO_SUCH_JOB, /* no such job here: not yet read, or over */
  KR_CANCEL_NOT_OWNER,   /* not, no longer or not yet entitled to say */
  KR_CANCEL_NO_ANSWER    /* the asker's: no answer */
} KrCancelStatus;
/* A cancellation is committed, in the job's revision `revision`, when the part's owner key had the
 * revision `owner`. Acts on it at once, without the state service. */
KrCancelStatus kr_shard_cancel_job (KrShard *shard, const char *id, guint64 owner,
                                    guint64 revision);
/* The same between nodes: {"Part","Job","Owner","Revision"}; the word is a status. */
#define KR_PEER_CANCELLATIONS "/cancellations"
json_t *kr_cancel_request_new (guint shard, const char *id, guint64 owner, guint64 revision);
guint kr_cancel_handle_request (KrNode *node, json_t *question); /* the status */
KrCancelStatus kr_cancel_status_from_http (guint status);

/* Between nodes, from a part's new owner to a former one: {"Part","Owner","Token"}. 200: no process
 * of the asked node answers the part's machines under a lower token any more. */
#define KR_PEER_TAKEOVERS "/takeovers"
guint kr_takeover_handle_request (KrNode *node, json_t *question); /* the status */

/* Live counts of a job; FALSE if it is not known here. */
gboolean kr_shard_job_counts (KrShard *shard, const char *id, guint *done, guint *running);

/* Puts and deletes that the ends of its jobs wait for. */
guint kr_shard_pending_end_writes (KrShard *shard);

/* Steps of walks over all machines so far: what the tests count. */
guint64 kr_shard_machine_visits (KrShard *shard);

/* For the leader: {"Part","Waiting","Needs":[...],"Berths":[...]} */
json_t *kr_shard_summary (KrShard *shard);
/* Marks a machine, or (`to`: this part) takes the mark away; kr_shard_move_marked moves what is
 * marked and empty, together. */
void kr_shard_mark_for_move (KrShard *shard, const char *id, guint to);
void kr_shard_move_marked (KrShard *shard);
void kr_shard_return_machine (KrShard *shard, const char *id);
