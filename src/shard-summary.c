#include "shard-summary.h"
#include <string.h>

static const char *
get_string (json_t *object, const char *field)
{
  return json_string_value (json_object_get (object, field));
}

static double
get_number (json_t *object, const char *field)
{
  return kr_json_number (json_object_get (object, field));
}

static gboolean
get_bool (json_t *object, const char *field)
{
  return json_is_true (json_object_get (object, field));
}

/* Reads an amount, which is not negative; 0 if it is missing. Returns FALSE if it is invalid. */
static gboolean
get_amount (json_t *object, const char *field, double *amount)
{
  json_t *value = json_object_get (object, field);
  *amount = kr_json_number (value);
  return !value || (json_is_number (value) && *amount >= 0);
}

/* `types` (out): NULL if all are allowed. Returns FALSE if the list is invalid. */
static gboolean
parse_types (json_t *names, char ***types)
{
  g_autoptr (GStrvBuilder) builder = g_strv_builder_new ();
  json_t *name;
  size_t i;
  *types = NULL;
  if (!names || json_is_null (names))
    return TRUE;
  json_array_foreach (names, i, name)
  {
    if (!json_is_string (name))
      return FALSE;
    g_strv_builder_add (builder, json_string_value (name));
  }
  *types = g_strv_builder_end (builder);
  return json_is_array (names);
}

/* Reads what a task needs. Returns FALSE if it is invalid. */
static gboolean
parse_requirements (json_t *entry, KrJobSpec *requirements)
{
  json_t *zone = json_object_get (entry, "Zone");
  requirements->id = g_strdup (get_string (entry, "Job")); /* not sent by earlier versions */
  requirements->zone = g_strdup (json_string_value (zone));
  requirements->spot_allowed = get_bool (entry, "Spot");
  return parse_types (json_object_get (entry, "Types"), &requirements->types) &&
         (!zone || json_is_null (zone) || json_is_string (zone)) &&
         get_amount (entry, "Cpus", &requirements->cpus) &&
         get_amount (entry, "Gpus", &requirements->gpus) &&
         get_amount (entry, "Mem", &requirements->mem_gb);
}

/* Returns NULL if the entry is invalid. */
static KrDemand *
parse_demand (json_t *entry, guint shard)
{
  KrDemand *demand = g_new0 (KrDemand, 1);
  demand->shard = shard;
  demand->requirements = g_new0 (KrJobSpec, 1);
  demand->urgent = get_bool (entry, "Urgent");
  if (!json_is_object (entry) || !parse_requirements (entry, demand->requirements) ||
      !get_amount (entry, "Slots", &demand->goal_slots) ||
      !get_amount (entry, "First", &demand->starved_slots) ||
      !get_amount (entry, "Most", &demand->max_slots)) {
    kr_demand_free (demand);
    return NULL;
  }
  demand->starved_slots = MIN (demand->starved_slots, demand->goal_slots);
  /* Not sent by earlier versions. */
  if (!json_object_get (entry, "Most"))
    demand->max_slots = demand->goal_slots;
  return demand;
}

/* Returns the shard that a machine moves to, or -1. */
static gint
parse_target (json_t *target, guint shard_count)
{
  guint64 shard = kr_json_uint_below (target, shard_count);
  return shard < shard_count ? (gint) shard : -1;
}

static gboolean
parse_machine (json_t *entry, guint shard_count, KrMachineSummary *machine)
{
  json_t *idle = json_object_get (entry, "Idle");
  *machine = (KrMachineSummary){
    .id = get_string (entry, "Id"),
    .type = get_string (entry, "Type"),
    .zone = get_string (entry, "Zone"), /* not sent by earlier versions */
    .spot = get_bool (entry, "Spot"),
    .up = get_bool (entry, "Up"),
    .leaving = get_bool (entry, "Going"),
    .idle_s = json_is_number (idle) ? kr_json_number (idle) : -1,
    .drain_s = get_number (entry, "Rest"),
    .target_shard = parse_target (json_object_get (entry, "To"), shard_count),
  };
  return machine->id != NULL;
}

KrShardSummary *
kr_shard_summary_parse (json_t *message, guint shard_count)
{
  guint64 shard = kr_json_uint_below (json_object_get (message, "Part"), shard_count);
  json_t *demands = json_object_get (message, "Needs"), *entry;
  size_t i;
  if (shard >= shard_count || !json_is_array (demands))
    return NULL;
  KrShardSummary *summary = g_new0 (KrShardSummary, 1);
  summary->shard = (guint) shard;
  summary->has_pending = get_bool (message, "Waiting");
  summary->stored_at = get_number (message, "At");
  summary->message = json_incref (message);
  summary->demands = g_ptr_array_new_with_free_func (kr_demand_free);
  summary->machines = g_array_new (FALSE, FALSE, sizeof (KrMachineSummary));
  json_array_foreach (demands, i, entry)
  {
    KrDemand *demand = parse_demand (entry, summary->shard);
    if (demand)
      g_ptr_array_add (summary->demands, demand);
    else
      summary->ignored++;
  }
  json_array_foreach (json_object_get (message, "Berths"), i, entry)
  {
    KrMachineSummary machine;
    if (parse_machine (entry, shard_count, &machine))
      g_array_append_val (summary->machines, machine);
    else
      summary->ignored++;
  }
  return summary;
}

void
kr_shard_summary_free (KrShardSummary *summary)
{
  g_ptr_array_unref (summary->demands);
  g_array_unref (summary->machines);
  json_decref (summary->message);
  g_free (summary);
}

static json_t *
types_to_json (const KrJobSpec *requirements)
{
  if (!requirements->types)
    return json_null ();
  json_t *types = json_array ();
  for (char **type = requirements->types; *type; type++)
    json_array_append_new (types, json_string (*type));
  return types;
}

json_t *
kr_demand_to_json (const KrDemand *demand)
{
  const KrJobSpec *requirements = demand->requirements;
  return json_pack ("{ss* so ss* sb sf sf sf sf sf sf sb}", "Job", requirements->id, "Types",
                    types_to_json (requirements), "Zone", requirements->zone, "Spot",
                    requirements->spot_allowed, "Cpus", requirements->cpus, "Gpus",
                    requirements->gpus, "Mem", requirements->mem_gb, "First", demand->starved_slots,
                    "Slots", demand->goal_slots, "Most", demand->max_slots, "Urgent",
                    demand->urgent);
}

json_t *
kr_machine_summary_to_json (const KrMachineSummary *machine)
{
  json_t *target =
      machine->target_shard < 0 ? json_null () : kr_json_uint_new ((guint64) machine->target_shard);
  return json_pack ("{ss ss* ss* sb sb sf sf sb so}", "Id", machine->id, "Type", machine->type,
                    "Zone", machine->zone, "Spot", machine->spot, "Up", machine->up, "Idle",
                    machine->idle_s, "Rest", machine->drain_s, "Going", machine->leaving, "To",
                    target);
}

json_t *
kr_shard_summary_to_json (guint shard, gboolean has_pending, json_t *demands, json_t *machines)
{
  return json_pack ("{sI sb so so}", "Part", (json_int_t) shard, "Waiting", has_pending, "Needs",
                    demands, "Berths", machines);
}

void
kr_shard_summary_make_stored (json_t *message, gsize demands_max_bytes, double wall_clock_s)
{
  json_t *demands = json_object_get (message, "Needs"), *fitting = json_array (), *demand;
  gsize bytes = 0;
  size_t i;
  json_array_foreach (demands, i, demand)
  {
    g_autofree char *text = kr_json_encode (demand);
    gsize length = strlen (text) + strlen (",");
    if (bytes + length > demands_max_bytes)
      continue;
    bytes += length;
    json_array_append (fitting, demand);
  }
  json_object_set_new (message, "Needs", fitting);
  json_object_del (message, "Berths");
  json_object_set_new (message, "At", json_real (wall_clock_s));
}
