/* Taking a part over: its machines may still obey an earlier owner, until each was fenced or is
 * gone. */
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "part-private.h"
#include "rent.h"
#include "worker.h"

/* --- fencing ------------------------------------------------------------------------- */
/* A machine that is being fenced: /show tells its session, a command gives it our token. */
typedef struct {
  KrPart *part;
  char *id;
} Fence;

static void
fence_free (Fence *fence)
{
  kr_part_unref (fence->part);
  g_free (fence->id);
  g_free (fence);
}

/* The machine, unless it or the part is gone meanwhile. */
static KrMachine *
fence_machine (const Fence *fence)
{
  return fence->part->gone ? NULL : kr_part_machine (fence->part, fence->id);
}

static void
fence_over (Fence *fence, gboolean reached)
{
  KrMachine *machine = fence_machine (fence);
  fence->part->fencing--;
  if (machine) {
    machine->fencing = FALSE;
    machine->tries += !reached;
    kr_machine_called (machine, reached, kr_now ());
  }
  fence_free (fence);
}

static void
commanded (guint status, KrReport *report, gpointer data)
{
  Fence *fence = data;
  KrMachine *machine = fence_machine (fence);
  if (machine && report && (status == 200 || status == 409))
    kr_part_take_report (fence->part, machine, report);
  fence_over (fence, report != NULL);
}

static void
shown (guint status, KrReport *report, gpointer data)
{
  Fence *fence = data;
  KrPart *part = fence->part;
  KrMachine *machine = fence_machine (fence);

  if (!machine || status != 200 || !report || !g_str_equal (report->machine, fence->id)) {
    fence_over (fence, FALSE);
    return;
  }
  kr_worker_command (part->node->workers, machine->endpoint,
                     kr_wire_commands_new (part->token, report->session), part->cancel, commanded,
                     fence);
}

static void
fence_machine_now (KrPart *part, KrMachine *machine)
{
  Fence *fence = g_new (Fence, 1);
  *fence = (Fence){ kr_part_ref (part), g_strdup (machine->id) };
  machine->fencing = TRUE;
  part->fencing++;
  kr_worker_show (part->node->workers, machine->endpoint, part->cancel, shown, fence);
}

gboolean
kr_part_needs_fence (const KrMachine *machine)
{
  return machine->must_fence && !machine->fenced;
}

/* Not only once since the takeover: it may have fallen silent right after. */
static gboolean
reports_now (KrPart *part, const KrMachine *machine, gint64 now)
{
  double silent_s = KR_SILENT_REPORTS * part->node->settings->report_s;
  return machine->heard && now - machine->heard <= kr_seconds (silent_s);
}

/* Why a used machine that could not be fenced since the takeover is given up; NULL: not yet. What
 * counts is its silence to calls that did go out, not how far we have come. */
static const char *
give_up (KrPart *part, const KrMachine *machine, guint unreached, guint used, gint64 now)
{
  double age = (double) (now - part->taken_at) / G_USEC_PER_SEC;
  if (machine->tries < 1)
    return NULL;
  /* Guards against one that reports, but hears neither answers nor commands: the part would stay
   * closed for as long as that lasts. */
  if (reports_now (part, machine, now))
    return machine->tries >= KR_FENCE_TRIES && age > part->node->settings->lease_s
               ? "it reports, but takes no command"
               : NULL;
  /* It was up, so lists showed it; the newest, read since, does not. */
  if (part->listed_at > part->taken_at && !machine->listed)
    return "not reached, and no longer listed";
  /* One lost machine must not keep a part with hundreds of others closed for a whole lease. */
  if (machine->tries >= KR_FENCE_TRIES && unreached <= used / KR_FENCE_FEW && age > KR_FENCE_FEW_S)
    return "not reached while others were";
  if (!part->only_ours && machine->tries >= KR_FENCE_TRIES && age > KR_FENCE_GRACE_S)
    return "not reached by the new owner";
  return NULL;
}

static void
fence (KrPart *part, gint64 now)
{
  const KrSettings *settings = part->node->settings;
  GHashTableIter it;
  gpointer value;
  guint unreached = 0, used = 0;

  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &value)) {
    const KrMachine *machine = value;
    used += machine->must_fence;
    unreached += kr_part_needs_fence (machine) && !reports_now (part, machine, now);
  }
  /* Unreachable ones hold their places until the time-out: with a quarter of the fleet behind a cut
   * a fixed window would ask the last of them half a minute late. */
  guint window = CLAMP (used / KR_FENCE_WAVES, KR_FENCE_WINDOW, kr_node_worker_conns (settings));
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &value)) {
    KrMachine *machine = value;
    const char *why;
    if (!kr_part_needs_fence (machine))
      continue;
    /* Nobody who may obey or answer it does so any more, so its lease is over: also where the cloud
     * does not delete it. */
    if (part->quiet_since &&
        kr_lease_over (MAX (part->quiet_since, machine->answered),
                       kr_membership_proven (part->node->membership), settings->lease_s)) {
      kr_info ("machine %s: not reached, its lease is over", machine->id);
      kr_machine_clear (machine, KR_GONE_LEASE, kr_part_saw, part);
      machine->must_fence = FALSE;
      continue;
    }
    /* While the cloud refuses, it is asked again like the others: it may be well again. */
    if (machine->deleting)
      continue;
    if ((why = give_up (part, machine, unreached, used, now)) &&
        kr_part_delete_machine (part, machine, why))
      continue;
    /* One that we answer will show our token by itself. */
    if (!machine->endpoint || machine->fencing || part->fencing >= window ||
        (machine->tries >= KR_FENCE_TRIES && now < machine->next_call) ||
        (machine->answered && now - machine->answered < kr_seconds (2 * settings->report_s)))
      continue;
    fence_machine_now (part, machine);
  }
}

void
kr_part_check_open (KrPart *part)
{
  GHashTableIter it;
  gpointer value;
  if (part->phase != FENCING)
    return;
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &value))
    if (kr_part_needs_fence (value))
      return;
  part->phase = OPEN;
  kr_info ("part %u: open, %.1f s after the takeover", part->index,
           (double) (kr_now () - part->taken_at) / G_USEC_PER_SEC);
  kr_part_write_record (part);
  kr_part_flush (part);
}

/* --- former owners ------------------------------------------------------------------- */
/* A machine that can be neither fenced nor deleted holds the part closed until its lease is surely
 * over. It may be renewed by whoever owned the part since all machines were fenced, dead or alive;
 * each of them is asked for its word that it answers them no more. A dead one gives it when it is
 * back: its process before is over. */
typedef struct {
  KrPart *part;
  KrFormerOwner *former;
} Question;

static void
former_owner_free (gpointer data)
{
  KrFormerOwner *former = data;
  g_free (former->node);
  g_free (former);
}

/* From now on none of them answers any machine, if so. */
static void
check_quiet (KrPart *part, gint64 now)
{
  for (guint i = 0; i < part->former->len; i++)
    if (!((KrFormerOwner *) part->former->pdata[i])->quiet)
      return;
  part->quiet_since = now;
  kr_part_write_record (part);
}

static void
former_answered (guint status, json_t *body, gpointer data)
{
  Question *question = data;
  KrPart *part = question->part;
  KrFormerOwner *former = question->former;
  gint64 now = kr_now ();

  former->asking = FALSE;
  former->next_ask = now + KR_TAKEOVER_ASK_MS * G_GINT64_CONSTANT (1000);
  if (status == 200 && !part->gone) {
    former->quiet = TRUE;
    kr_info ("part %u: %s answers its machines no more", part->index, former->node);
    check_quiet (part, now);
  }
  kr_part_unref (part);
  g_free (question);
}

static void
ask_former_owners (KrPart *part, gint64 now)
{
  for (guint i = 0; part->former && i < part->former->len; i++) {
    KrFormerOwner *former = part->former->pdata[i];
    const KrPeerSettings *peer = kr_settings_peer (part->node->settings, former->node);
    if (former->quiet || former->asking || now < former->next_ask || !peer)
      continue;
    Question *question = g_new (Question, 1);
    *question = (Question){ kr_part_ref (part), former };
    former->asking = TRUE;
    kr_client_call (part->node->peers, "POST", peer->addr, KR_PEER_TAKEOVERS,
                    json_pack ("{sI ss sI}", "Part", (json_int_t) part->index, "Owner",
                               part->node->settings->node_name, "Token", (json_int_t) part->token),
                    KR_PEER_TIMEOUT_MS, part->cancel, former_answered, question);
  }
}

guint
kr_takeover_answer (KrNode *node, json_t *question)
{
  const char *owner = json_string_value (json_object_get (question, "Owner"));
  json_t *part = json_object_get (question, "Part"), *token = json_object_get (question, "Token");
  if (!owner || !kr_settings_peer (node->settings, owner) || !json_is_integer (part) ||
      !json_is_integer (token) || json_integer_value (token) <= 0)
    return 400;
  guint64 index = (guint64) json_integer_value (part);
  if (index >= node->settings->size)
    return 400;
  gboolean quiet = kr_membership_superseded (node->membership, (guint) index, owner,
                                             (guint64) json_integer_value (token));
  return quiet && !node->parts[index] ? 200 : 409;
}

/* Who they are, from the claim as our predecessor left it. */
static void
note_former_owners (KrPart *part)
{
  const KrClaim *claim = kr_membership_claim (part->node->membership, part->index);
  const char *self = part->node->settings->node_name;
  g_autoptr (GPtrArray) names = kr_claim_former_owners (claim);

  g_clear_pointer (&part->former, g_ptr_array_unref);
  if (!names) {
    if (claim->revision)
      kr_info ("part %u: its claim does not tell who answered its machines", part->index);
    return;
  }
  part->former = g_ptr_array_new_with_free_func (former_owner_free);
  part->only_ours = TRUE;
  for (guint i = 0; i < names->len; i++) {
    KrFormerOwner *former = g_new0 (KrFormerOwner, 1);
    former->node = g_strdup (names->pdata[i]);
    /* Our own earlier process is over, whichever it was. */
    former->quiet = g_str_equal (former->node, self);
    part->only_ours = part->only_ours && former->quiet;
    g_ptr_array_add (part->former, former);
  }
  if (part->only_ours)
    part->quiet_since = part->taken_at;
}

/* --- its steps ------------------------------------------------------------------------ */
/* Takeovers are worked on more often than a tick: each second closed is a second lost for all. Not
 * at each report: with hundreds of machines that would be a walk over all for each of them. */
static gboolean
fence_tick (gpointer data)
{
  KrPart *part = data;
  if (part->phase == FENCING) {
    ask_former_owners (part, kr_now ());
    fence (part, kr_now ());
    kr_part_check_open (part);
  }
  if (part->phase != OPEN)
    return G_SOURCE_CONTINUE;
  part->fence_tick = 0;
  return G_SOURCE_REMOVE;
}

static gboolean
scan_again (gpointer data)
{
  KrPart *part = data;
  if (!part->gone)
    kr_membership_rescan (part->node->membership);
  kr_part_unref (part);
  return G_SOURCE_REMOVE;
}

static void
claimed (guint status, json_t *body, gpointer data)
{
  KrPart *part = data;
  GHashTableIter it;
  gpointer machine;
  json_t *value = g_steal_pointer (&part->claim_written);

  if (status == 200)
    kr_membership_note_claim (part->node->membership, part->index, value, kr_wire_revision (body));
  json_decref (value);
  if (part->gone) {
    kr_part_unref (part);
    return;
  }
  if (status != 200) {
    kr_timer_add (KR_RETRY_MS, scan_again, part);
    return;
  }
  part->have_record = TRUE;
  kr_part_record_changed (part);
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &machine))
    ((KrMachine *) machine)->must_fence = ((KrMachine *) machine)->used;
  kr_follow_rescan (part->node->jobs);
  if (g_hash_table_size (part->machines))
    kr_rent_list_soon (part->node->rent);
  kr_part_unref (part);
}

/* The scan began after the key became ours: every machine that an earlier owner may have used is in
 * it, since that was durable before the first run, and an earlier owner's later writes fail. */
void
kr_part_scanned (KrPart *part)
{
  const KrClaim *claim = kr_membership_claim (part->node->membership, part->index);
  if (part->have_record || part->claim_written)
    return;
  note_former_owners (part);
  part->claim_written = kr_claim_taken_over (claim, part->node->settings->node_name);
  kr_state_commit (part->node->state, kr_part_claim_txn (part, part->claim_written), KR_FIRST,
                   KR_STATE_TIMEOUT_MS, part->cancel, claimed, kr_part_ref (part));
}

void
kr_takeover_begin (KrPart *part)
{
  part->fence_tick = kr_timer_add (KR_FENCE_MS, fence_tick, part);
}
