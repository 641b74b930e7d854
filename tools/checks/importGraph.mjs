// The graph of imports between the project's own source files: circles, and imports that run against the order of the layers.
import path from 'node:path';

/** A layer may import itself and the layers before it. */
const layers = ['packages', 'programs', 'platform', 'testing', 'examples'];
const importPattern = /^(?:import|export)\s(?:[^'";]*?\sfrom\s)?'([^']+)'/gm;
const scope = '@pewterlanding/';

/** The relative imports of a file, as paths from the root; those of packages of the project as `@pewterlanding/NAME`. */
export function importsOf(file, text) {
  return [...text.matchAll(importPattern)]
    .map(([, specifier]) => specifier)
    .filter((specifier) => specifier.startsWith('.') || specifier.startsWith(scope))
    .map((specifier) =>
      specifier.startsWith(scope)
        ? specifier
        : path.posix.normalize(path.posix.join(path.posix.dirname(file), specifier)).replace(/\.js$/, '.ts'),
    );
}

/** Groups of files that import each other in a circle; `graph` maps a file to what it imports. */
export function circlesOf(graph) {
  const order = new Map();
  const lowest = new Map();
  const stack = [];
  const circles = [];
  const visit = (file) => {
    order.set(file, order.size);
    lowest.set(file, order.get(file));
    stack.push(file);
    for (const next of graph.get(file) ?? []) {
      if (!graph.has(next)) continue;
      if (!order.has(next)) visit(next);
      if (stack.includes(next)) lowest.set(file, Math.min(lowest.get(file), lowest.get(next)));
    }
    if (lowest.get(file) !== order.get(file)) return;
    const circle = stack.splice(stack.indexOf(file));
    if (circle.length > 1) circles.push(circle.sort());
  };
  for (const file of graph.keys()) if (!order.has(file)) visit(file);
  return circles;
}

/** Imports of a package that stands in a later layer than the file; `folderOf` maps a package's name to its folder. */
export function upwardImports(graph, folderOf) {
  const layerOf = (file) => layers.indexOf(file.split('/')[0]);
  const findings = [];
  for (const [file, imports] of graph)
    for (const specifier of imports) {
      const folder = specifier.startsWith(scope) ? folderOf.get(specifier) : specifier;
      if (folder !== undefined && layerOf(folder) > layerOf(file)) findings.push(`${file}: imports ${specifier}, which stands above it`);
    }
  return findings;
}
