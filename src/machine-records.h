/* Machine records: which machines belong to which shard, as stored in the state service below
 * c/berths/. A shard's machines are split into chunks of at most KR_RECORD_CHUNK_MACHINES
 * machines, one key each, so that no value grows with the deployment. A machine's entry is its
 * address once the machine is used (a task may have been started there), else "". This module does
 * no I/O: it keeps the contents of the stored keys and builds changes of them. */
#pragma once
#include "settings.h"
#include "wire.h"

/* Where a machine is recorded. */
typedef struct {
  guint shard, chunk;
  const char *address; /* "" if the machine is not used; valid until the chunk changes */
  guint64 revision;    /* of the chunk's key */
} KrMachineRecord;

typedef struct KrMachineRecords KrMachineRecords;

/* A chunk at the revision that a transaction expects of it. */
typedef struct {
  guint shard, chunk;
  guint64 revision; /* 0: the chunk does not exist */
} KrChunkVersion;

typedef struct {
  void (*changed) (guint shard, gpointer data);
  /* The machine is in no shard any more. */
  void (*removed) (const char *machine, gpointer data);
} KrMachineRecordEvents;

KrMachineRecords *kr_machine_records_new (const KrSettings *settings,
                                          const KrMachineRecordEvents *events, gpointer data);
void kr_machine_records_free (KrMachineRecords *records);
/* Applies a stored key below c/berths/ if it is newer than the known revision; other keys are
 * ignored. If chunks of two shards hold a machine, it belongs to the shard that has used it, else
 * to the shard with the lower number. So all nodes agree on it, in whichever order they read the
 * chunks. */
void kr_machine_records_apply (KrMachineRecords *records, const KrKeyValue *item);
/* TRUE if the chunk is known at a newer revision than `version`: a transaction that expects that
 * revision has been executed, or can never succeed any more. */
gboolean kr_machine_records_changed_since (KrMachineRecords *records,
                                           const KrChunkVersion *version);
/* NULL if the machine is in no shard. Valid until the next change of the records. */
const KrMachineRecord *kr_machine_records_find (KrMachineRecords *records, const char *machine);
typedef void (*KrMachineRecordFunc) (const char *machine, const KrMachineRecord *record,
                                     gpointer data);
/* Calls `func` for each machine of a shard. */
void kr_machine_records_foreach (KrMachineRecords *records, guint shard, KrMachineRecordFunc func,
                                 gpointer data);
/* Calls `func` for each duplicate in a shard's chunks: an entry of a machine that belongs to
 * another chunk. `record` is the machine's valid record. */
void kr_machine_records_foreach_duplicate (KrMachineRecords *records, guint shard,
                                           KrMachineRecordFunc func, gpointer data);
/* Calls `func` for each machine of all shards. */
void kr_machine_records_foreach_all (KrMachineRecords *records, KrMachineRecordFunc func,
                                     gpointer data);

/* Changes of the records for one transaction. For every chunk that is changed, the transaction
 * expects the known revision and puts a new value. */
typedef struct KrRecordUpdate KrRecordUpdate;
KrRecordUpdate *kr_record_update_new (KrMachineRecords *records);
void kr_record_update_free (KrRecordUpdate *update);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrRecordUpdate, kr_record_update_free)
/* address: "" while the machine is not used. */
void kr_record_update_add (KrRecordUpdate *update, guint shard, const char *machine,
                           const char *address);
/* Changes the address of a machine. Like the next two functions, this does nothing if the machine
 * is in no shard. */
void kr_record_update_set (KrRecordUpdate *update, const char *machine, const char *address);
void kr_record_update_remove (KrRecordUpdate *update, const char *machine);
/* Writes the machine's chunk unchanged. Any other transaction that expects the chunk's present
 * revision then fails. */
void kr_record_update_touch (KrRecordUpdate *update, const char *machine);
/* The same for the chunk of `version`, which must still be known at that revision. */
void kr_record_update_touch_chunk (KrRecordUpdate *update, const KrChunkVersion *version);
/* Removes a machine's duplicate entries from a shard's chunks, on condition that the chunk to which
 * the machine belongs has not changed. */
void kr_record_update_remove_duplicates (KrRecordUpdate *update, guint shard, const char *machine);
/* Stores in `version` one of the chunks that the update writes, at the revision that it expects.
 * Returns FALSE if the update writes none. */
gboolean kr_record_update_chunk_version (const KrRecordUpdate *update, KrChunkVersion *version);
/* Returns the number of chunks that the update writes. */
guint kr_record_update_chunk_count (const KrRecordUpdate *update);
void kr_record_update_add_to_txn (const KrRecordUpdate *update, KrTxn *txn);
/* Applies the update to the records, after its transaction was committed at this revision. */
void kr_record_update_committed (const KrRecordUpdate *update, guint64 revision);
