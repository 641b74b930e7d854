import type { Configuration } from '@pewterlanding/model';
import type { Difference } from '../audit/difference.js';

/** The history is read whole, so each line must stay short, however much was changed. */
const maxPlaces = 50;

/** The names of the items in which two configurations differ, without their content. */
export function changedItems(before: Configuration | undefined, after: Configuration): Difference[] {
  const places: string[] = [];
  const compare = (was: Readonly<Record<string, unknown>>, is: Readonly<Record<string, unknown>>, path: string): void => {
    for (const key of new Set([...Object.keys(was), ...Object.keys(is)]))
      if (was[key] !== is[key] && JSON.stringify(was[key]) !== JSON.stringify(is[key])) places.push(path + key);
  };
  const { routes, services, ...rest } = after;
  const { routes: wereRoutes = {}, services: wereServices = {}, ...were } = before ?? {};
  compare(wereRoutes, routes, 'routes.');
  compare(wereServices, services, 'services.');
  compare(were, rest, '');
  const more = places.length - maxPlaces;
  return [...places.slice(0, maxPlaces), ...(more > 0 ? [`and ${more} more`] : [])].map((place) => ({ place }));
}
