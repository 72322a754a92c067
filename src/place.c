#include "place.h"

#define SLACK 1e-6 /* amounts are decimal numbers; sums of them are not exact */

gboolean
kr_place_has_room (const KrRoom *free, const KrSpec *s)
{
  return s->cpus <= free->cpus + SLACK && s->gpus <= free->gpus + SLACK &&
         s->mem_gb <= free->mem_gb + SLACK;
}

gboolean
kr_place_fits_type (const KrSpec *s, const KrType *t)
{
  KrRoom whole = { t->cpus, t->gpus, t->mem_gb };
  if (s->types && !g_strv_contains ((const char *const *) s->types, t->name))
    return FALSE;
  if (s->zone && !g_strv_contains ((const char *const *) t->zones, s->zone))
    return FALSE;
  return kr_place_has_room (&whole, s);
}

gboolean
kr_place_allowed (const KrSpec *s, const char *type, const char *zone, gboolean spot)
{
  return (!s->types || g_strv_contains ((const char *const *) s->types, type)) &&
         (!s->zone || g_str_equal (s->zone, zone)) && (!spot || s->spot);
}

gboolean
kr_place_spread_ok (const KrSpec *s, const KrSpread *w)
{
  if (s->one_zone && w->total != w->here)
    return FALSE;
  return !s->apart || w->here + 1 <= (s->tasks + 1) / 2;
}

void
kr_place_take (KrRoom *r, const KrSpec *s)
{
  r->cpus -= s->cpus;
  r->gpus -= s->gpus;
  r->mem_gb -= s->mem_gb;
}

void
kr_place_give (KrRoom *r, const KrSpec *s)
{
  r->cpus += s->cpus;
  r->gpus += s->gpus;
  r->mem_gb += s->mem_gb;
}

gboolean
kr_place_team_ok (const KrTeam *t, const KrRoom *used, const KrSpec *s)
{
  return (t->cpus_max <= 0 || used->cpus + s->cpus <= t->cpus_max + SLACK) &&
         (t->gpus_max <= 0 || used->gpus + s->gpus <= t->gpus_max + SLACK);
}

gboolean
kr_place_job_ok (const KrTeam *t, const KrSpec *s)
{
  double n = s->form == KR_FORM_ARRAY ? 1 : s->tasks;
  return (t->cpus_max <= 0 || n * s->cpus <= t->cpus_max + SLACK) &&
         (t->gpus_max <= 0 || n * s->gpus <= t->gpus_max + SLACK);
}

static gboolean
within_guarantee (const KrTeam *t, const KrRoom *used, double cpus, double gpus)
{
  return used->cpus + cpus <= t->cpus + SLACK && used->gpus + gpus <= t->gpus + SLACK;
}

gboolean
kr_place_may_stop (const KrSpec *s, const KrTeam *team, const KrRoom *used, const KrSpec *victim,
                   const KrTeam *victim_team, const KrRoom *victim_used)
{
  if (victim->rank < s->rank)
    return TRUE;
  return team != victim_team && within_guarantee (team, used, s->cpus, s->gpus) &&
         !within_guarantee (victim_team, victim_used, 0, 0);
}

double
kr_place_share (const KrSpec *s, const KrType *t)
{
  double share = t->cpus > 0 ? s->cpus / t->cpus : 0;
  if (t->mem_gb > 0)
    share = MAX (share, s->mem_gb / t->mem_gb);
  if (t->gpus > 0)
    share = MAX (share, s->gpus / t->gpus);
  return MAX (share, 1e-6);
}
