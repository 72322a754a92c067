/* Which machines are in which part, as it is durable: chunks of at most some hundred machines below
 * c/berths/ (the stored name), so that no value grows with the deployment. An entry is the
 * machine's address once it is used (something may have been started there), else "". No I/O. */
#pragma once
#include "settings.h"
#include "wire.h"

typedef struct {
  guint shard, chunk;
  const char *address; /* "": not used yet. Valid until the next change of the chunk */
  guint64 revision;    /* of the chunk */
} KrMachineRecord;

typedef struct KrMachineRecords KrMachineRecords;

/* A chunk as a transaction expects it. */
typedef struct {
  guint shard, chunk;
  guint64 revision; /* 0: it does not exist */
} KrChunkVersion;

typedef struct {
  void (*changed) (guint shard, gpointer data);
  void (*removed) (const char *machine, gpointer data); /* in no part any more */
} KrMachineRecordEvents;

KrMachineRecords *kr_machine_records_new (const KrSettings *settings,
                                          const KrMachineRecordEvents *events, gpointer data);
void kr_machine_records_free (KrMachineRecords *records);
/* Takes in what a key below c/berths/ shows, if it is newer than what is known. Where chunks of two
 * parts hold a machine, it belongs to the one that has used it, else to the lower part: every node
 * sees the same, whichever chunk it read first. */
void kr_machine_records_apply (KrMachineRecords *records, const KrKeyValue *item);
/* Whether the chunk is known at a newer revision: what expected the mark's has been carried out, or
 * never will be. */
gboolean kr_machine_records_changed_since (KrMachineRecords *records, const KrChunkVersion *mark);
/* NULL: in no part. */
const KrMachineRecord *kr_machine_records_find (KrMachineRecords *records, const char *machine);
/* Walks a part's machines. */
typedef void (*KrMachineRecordFunc) (const char *machine, const KrMachineRecord *member,
                                     gpointer data);
void kr_machine_records_foreach (KrMachineRecords *records, guint shard, KrMachineRecordFunc walk,
                                 gpointer data);
/* Walks the machines that a part's chunks hold though they belong elsewhere, as `member` says. */
void kr_machine_records_foreach_duplicate (KrMachineRecords *records, guint shard,
                                           KrMachineRecordFunc walk, gpointer data);
/* Calls walk for all parts' machines. */
void kr_machine_records_foreach_all (KrMachineRecords *records, KrMachineRecordFunc walk,
                                     gpointer data);

/* Changes to be made in one transaction: every chunk that they touch is a condition and a put. */
typedef struct KrRecordUpdate KrRecordUpdate;
KrRecordUpdate *kr_record_update_new (KrMachineRecords *records);
void kr_record_update_free (KrRecordUpdate *draft);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrRecordUpdate, kr_record_update_free)
void kr_record_update_add (KrRecordUpdate *draft, guint shard, const char *machine,
                           const char *address);
void kr_record_update_set (KrRecordUpdate *draft, const char *machine, const char *address);
void kr_record_update_remove (KrRecordUpdate *draft, const char *machine);
/* The machine's chunk is written as it is: whatever else names its revision can no longer succeed.
 */
void kr_record_update_touch (KrRecordUpdate *draft, const char *machine);
/* The same for a chunk that is still as the mark says. */
void kr_record_update_touch_chunk (KrRecordUpdate *draft, const KrChunkVersion *mark);
/* Takes a machine out of the part's chunks to which it does not belong, as long as the chunk to
 * which it does stays as it is. */
void kr_record_update_remove_duplicates (KrRecordUpdate *draft, guint shard, const char *machine);
/* One of the chunks that it writes, as it expects it. FALSE: it writes none. */
gboolean kr_record_update_chunk_version (const KrRecordUpdate *draft, KrChunkVersion *mark);
guint kr_record_update_ops (const KrRecordUpdate *draft);
void kr_record_update_add_to_txn (const KrRecordUpdate *draft, KrTxn *txn);
/* The transaction was executed at this revision. */
void kr_record_update_committed (const KrRecordUpdate *draft, guint64 revision);
