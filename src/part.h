/* An owned part: its jobs and machines, what runs where, and what of it is durable. */
#pragma once
#include "agent.h"
#include "http.h"
#include "ledger.h"
#include "node.h"

/* Begins a takeover under `token`. */
KrPart *kr_part_new (KrNode *node, guint index, guint64 token);
/* We hold it no longer: forgets everything. */
void kr_part_drop (KrPart *self);
guint64 kr_part_token (KrPart *self);
/* Our key was renewed by ourselves, without a gap. */
void kr_part_renewed (KrPart *self, guint64 token);

void kr_part_jobs_scanned (KrPart *self, json_t *items);
void kr_part_job_event (KrPart *self, const KrItem *item);
void kr_part_record_changed (KrPart *self);
/* All of c/ was read anew. */
void kr_part_scanned (KrPart *self);
void kr_part_machines_listed (KrPart *self, GHashTable *by_id); /* id -> KrMachine */

/* Takes over `request`. */
void kr_part_beat (KrPart *self, KrRequest *request, const KrReport *report);
/* Live counts of a job; FALSE if it is not known here. */
gboolean kr_part_counts (KrPart *self, const char *job, guint *done, guint *running);

/* Steps of walks over all machines so far: what the tests count. */
guint64 kr_part_walked (KrPart *self);

/* For the leader: {"Part","Waiting","Needs":[...],"Berths":[...]} */
json_t *kr_part_summary (KrPart *self);
/* Marks a machine; kr_part_moves moves what is marked and empty, together. */
void kr_part_give (KrPart *self, const char *machine, guint to);
void kr_part_moves (KrPart *self);
void kr_part_return (KrPart *self, const char *machine);
