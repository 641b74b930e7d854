// Every path, scenario, fault, mutation check and test that the page on the brief names must be there.

const page = 'docs/brief.md';
const sources = {
  sim: [/simulator\/src\/(scenarios|faults)\/\w+(Scenarios|Faults)\.ts$/, /^  (\w+): (?:\w+\(|\{$|\{ (?:inject|run|\.\.\.))/gm],
  real: [/simulator\/src\/fleet\/\w+Faults\.ts$/, /^  (\w+): (?:async )?\(/gm],
  guard: [/mutation\/mutations\.ts$/, /name: '(\w+)'/g],
};

/** `files` is a map of path to text. */
export function briefPageFindings(files) {
  const known = knownNames(files);
  return (files.get(page) ?? '').split('\n').flatMap((line, index) =>
    [...line.matchAll(/`([^`]+)`/g)].flatMap(([, name]) => {
      const [, kind, rest] = /^(sim|real|guard|test):(\w*)$/.exec(name) ?? [];
      if (kind !== undefined && rest !== '') return known[kind].has(rest) ? [] : [`${page}:${index + 1}: no ${kind} ${rest}`];
      const isPath = /^[\w./-]+\/[\w.-]+\.\w+$/.test(name);
      return isPath && !files.has(name) ? [`${page}:${index + 1}: no file ${name}`] : [];
    }),
  );
}

function knownNames(files) {
  const names = Object.entries(sources).map(([kind, [pattern, declaration]]) => {
    const texts = [...files].filter(([file]) => pattern.test(file)).map(([, text]) => text);
    return [kind, new Set(texts.flatMap((text) => [...text.matchAll(declaration)].map((match) => match[1])))];
  });
  const tests = [...files.keys()].flatMap((file) => /\/test\/(?:.*\/)?(\w+)\.test\.ts$/.exec(file)?.[1] ?? []);
  return { ...Object.fromEntries(names), test: new Set(tests) };
}
