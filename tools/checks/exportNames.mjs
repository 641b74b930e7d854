// One exported name a file: a schema and its type share one and count as one; index.ts files only pass on.

const exported = /^export (?:async )?(?:abstract )?(?:const|function|class|interface|type|enum)\*? (\w+)/gm;

export function exportNameFindings(file, text) {
  if (!file.endsWith('.ts') || file.endsWith('index.ts')) return [];
  const names = new Set([...text.matchAll(exported)].map((match) => match[1]));
  return names.size > 1 ? [`${file}: exports ${[...names].join(', ')}; one name a file`] : [];
}
