/* Which machines are in which part, as it is durable: chunks of at most some hundred machines below
 * c/berths/ (the stored name), so that no value grows with the deployment. An entry is the
 * machine's address once it is used (something may have been started there), else "". No I/O. */
#pragma once
#include "settings.h"
#include "wire.h"

typedef struct {
  guint part, chunk;
  const char *address; /* "": not used yet. Valid until the next change of the chunk */
  guint64 revision;    /* of the chunk */
} KrMember;

typedef struct KrRecords KrRecords;

/* A chunk as a transaction expects it. */
typedef struct {
  guint part, chunk;
  guint64 revision; /* 0: it does not exist */
} KrChunkMark;

typedef struct {
  void (*changed) (guint part, gpointer data);
  void (*left) (const char *machine, gpointer data); /* in no part any more */
} KrRecordEvents;

KrRecords *kr_records_new (const KrSettings *settings, const KrRecordEvents *events, gpointer data);
void kr_records_free (KrRecords *records);
/* Takes in what a key below c/berths/ shows, if it is newer than what is known. Where chunks of two
 * parts hold a machine, it belongs to the one that has used it, else to the lower part: every node
 * sees the same, whichever chunk it read first. */
void kr_records_note (KrRecords *records, const KrItem *item);
/* Whether the chunk is known at a newer revision: what expected the mark's has been carried out, or
 * never will be. */
gboolean kr_records_changed_since (KrRecords *records, const KrChunkMark *mark);
/* NULL: in no part. */
const KrMember *kr_records_find (KrRecords *records, const char *machine);
/* Walks a part's machines. */
typedef void (*KrRecordWalk) (const char *machine, const KrMember *member, gpointer data);
void kr_records_walk (KrRecords *records, guint part, KrRecordWalk walk, gpointer data);
/* Walks the machines that a part's chunks hold though they belong elsewhere, as `member` says. */
void kr_records_walk_strays (KrRecords *records, guint part, KrRecordWalk walk, gpointer data);
/* Calls walk for all parts' machines. */
void kr_records_walk_all (KrRecords *records, KrRecordWalk walk, gpointer data);

/* Changes to be made in one transaction: every chunk that they touch is a condition and a put. */
typedef struct KrDraft KrDraft;
KrDraft *kr_draft_new (KrRecords *records);
void kr_draft_free (KrDraft *draft);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrDraft, kr_draft_free)
void kr_draft_add (KrDraft *draft, guint part, const char *machine, const char *address);
void kr_draft_set (KrDraft *draft, const char *machine, const char *address);
void kr_draft_remove (KrDraft *draft, const char *machine);
/* The machine's chunk is written as it is: whatever else names its revision can no longer succeed.
 */
void kr_draft_touch (KrDraft *draft, const char *machine);
/* The same for a chunk that is still as the mark says. */
void kr_draft_touch_chunk (KrDraft *draft, const KrChunkMark *mark);
/* Takes a machine out of the part's chunks to which it does not belong, as long as the chunk to
 * which it does stays as it is. */
void kr_draft_remove_stray (KrDraft *draft, guint part, const char *machine);
/* One of the chunks that it writes, as it expects it. FALSE: it writes none. */
gboolean kr_draft_mark (const KrDraft *draft, KrChunkMark *mark);
guint kr_draft_ops (const KrDraft *draft);
void kr_draft_write (const KrDraft *draft, KrTxn *txn);
/* The transaction was executed at this revision. */
void kr_draft_done (const KrDraft *draft, guint64 revision);
