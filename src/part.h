/* An owned part: its jobs and machines, what runs where, and what of it is durable. */
#pragma once
#include "agent.h"
#include "http-server.h"
#include "ledger.h"
#include "node.h"

/* Begins a takeover under `token`. */
KrPart *kr_part_new (KrNode *node, guint index, guint64 token);
/* We hold it no longer: forgets everything. */
void kr_part_drop (KrPart *part);
guint64 kr_part_token (KrPart *part);
/* Our key was renewed by ourselves, without a gap. */
void kr_part_renewed (KrPart *part, guint64 token);

void kr_part_jobs_scanned (KrPart *part, json_t *items);
void kr_part_job_event (KrPart *part, const KrItem *item);
void kr_part_record_changed (KrPart *part);
/* All of c/ was read anew. */
void kr_part_scanned (KrPart *part);
void kr_part_machines_listed (KrPart *part, GHashTable *by_id); /* id -> KrListedMachine */

/* Takes over `request`. */
void kr_part_beat (KrPart *part, KrRequest *request, const KrReport *report);
/* What an owner says when it is asked to act on a committed cancellation. */
typedef enum {
  KR_CANCEL_SURE,      /* nothing of the job starts any more, and what runs is being stopped */
  KR_CANCEL_SOON,      /* a launch may still start: its machine has not said */
  KR_CANCEL_UNKNOWN,   /* no such job here: not yet read, or over */
  KR_CANCEL_NOT_OWNER, /* not, no longer or not yet entitled to say */
  KR_CANCEL_SILENT     /* the asker's: no answer */
} KrCancelWord;
/* A cancellation is committed, in the job's revision `revision`, when the part's owner key had the
 * revision `owner`. Acts on it at once, without the state service. */
KrCancelWord kr_part_cancel (KrPart *part, const char *id, guint64 owner, guint64 revision);
/* The same between nodes: {"Part","Job","Owner","Revision"}; the word is a status. */
#define KR_PEER_CANCELLATIONS "/cancellations"
json_t *kr_cancel_question (guint part, const char *id, guint64 owner, guint64 revision);
guint kr_cancel_answer (KrNode *node, json_t *question); /* the status */
KrCancelWord kr_cancel_word (guint status);

/* Between nodes, from a part's new owner to a former one: {"Part","Owner","Token"}. 200: no process
 * of the asked node answers the part's machines under a lower token any more. */
#define KR_PEER_TAKEOVERS "/takeovers"
guint kr_takeover_answer (KrNode *node, json_t *question); /* the status */

/* Live counts of a job; FALSE if it is not known here. */
gboolean kr_part_counts (KrPart *part, const char *id, guint *done, guint *running);

/* Puts and deletes that the ends of its jobs wait for. */
guint kr_part_waiting_ends (KrPart *part);

/* Steps of walks over all machines so far: what the tests count. */
guint64 kr_part_walked (KrPart *part);

/* For the leader: {"Part","Waiting","Needs":[...],"Berths":[...]} */
json_t *kr_part_summary (KrPart *part);
/* Marks a machine, or (`to`: this part) takes the mark away; kr_part_moves moves what is marked and
 * empty, together. */
void kr_part_give (KrPart *part, const char *id, guint to);
void kr_part_moves (KrPart *part);
void kr_part_return (KrPart *part, const char *id);
