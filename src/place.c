#include "place.h"

#define SLACK 1e-6 /* amounts are decimal numbers; sums of them are not exact */

gboolean
kr_place_has_room (const KrRoom *free, const KrSpec *spec)
{
  return spec->cpus <= free->cpus + SLACK && spec->gpus <= free->gpus + SLACK &&
         spec->mem_gb <= free->mem_gb + SLACK;
}

gboolean
kr_place_fits_type (const KrSpec *spec, const KrType *type)
{
  KrRoom whole = { type->cpus, type->gpus, type->mem_gb };
  if (spec->types && !g_strv_contains ((const char *const *) spec->types, type->name))
    return FALSE;
  if (spec->zone && !g_strv_contains ((const char *const *) type->zones, spec->zone))
    return FALSE;
  return kr_place_has_room (&whole, spec);
}

gboolean
kr_place_allowed (const KrSpec *spec, const char *type, const char *zone, gboolean spot)
{
  return (!spec->types || g_strv_contains ((const char *const *) spec->types, type)) &&
         (!spec->zone || g_str_equal (spec->zone, zone)) && (!spot || spec->spot);
}

gboolean
kr_place_spread_ok (const KrSpec *spec, const KrSpread *spread)
{
  if (spec->one_zone && spread->total != spread->here)
    return FALSE;
  return !spec->apart || spread->here + 1 <= (spec->tasks + 1) / 2;
}

void
kr_place_take (KrRoom *r, const KrSpec *spec)
{
  r->cpus -= spec->cpus;
  r->gpus -= spec->gpus;
  r->mem_gb -= spec->mem_gb;
}

void
kr_place_give (KrRoom *r, const KrSpec *spec)
{
  r->cpus += spec->cpus;
  r->gpus += spec->gpus;
  r->mem_gb += spec->mem_gb;
}

gboolean
kr_place_team_ok (const KrTeam *team, const KrRoom *used, const KrSpec *spec)
{
  return (team->cpus_max <= 0 || used->cpus + spec->cpus <= team->cpus_max + SLACK) &&
         (team->gpus_max <= 0 || used->gpus + spec->gpus <= team->gpus_max + SLACK);
}

gboolean
kr_place_job_ok (const KrTeam *team, const KrSpec *spec)
{
  double n = spec->form == KR_FORM_ARRAY ? 1 : spec->tasks;
  return (team->cpus_max <= 0 || n * spec->cpus <= team->cpus_max + SLACK) &&
         (team->gpus_max <= 0 || n * spec->gpus <= team->gpus_max + SLACK);
}

static gboolean
within_guarantee (const KrTeam *team, const KrRoom *used, double cpus, double gpus)
{
  return used->cpus + cpus <= team->cpus + SLACK && used->gpus + gpus <= team->gpus + SLACK;
}

gboolean
kr_place_may_stop (const KrSpec *spec, const KrTeam *team, const KrRoom *used, const KrSpec *victim,
                   const KrTeam *victim_team, const KrRoom *victim_used)
{
  if (victim->rank < spec->rank)
    return TRUE;
  return team != victim_team && within_guarantee (team, used, spec->cpus, spec->gpus) &&
         !within_guarantee (victim_team, victim_used, 0, 0);
}

double
kr_place_share (const KrSpec *spec, const KrType *type)
{
  double share = type->cpus > 0 ? spec->cpus / type->cpus : 0;
  if (type->mem_gb > 0)
    share = MAX (share, spec->mem_gb / type->mem_gb);
  if (type->gpus > 0)
    share = MAX (share, spec->gpus / type->gpus);
  return MAX (share, 1e-6);
}
