package loomreel.settings.cue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Converts a schema to JSON Schema, for editors: as much of it as can be expressed without
 * unification.
 */
final class JsonSchema {
  private final Expr.Struct schema;
  private final String root;

  JsonSchema(Expr.Struct schema, String root) {
    this.schema = schema;
    this.root = root;
  }

  String text() {
    Map<String, Object> definitions = new LinkedHashMap<>();
    for (Expr.Field field : schema.fields()) {
      if (field.name() != null && field.name().startsWith("#")) {
        definitions.put(field.name().substring(1), toSchema(field.value()));
      }
    }
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("$schema", "https://json-schema.org/draft/2020-12/schema");
    document.put("$ref", "#/$defs/" + root.substring(1));
    document.put("$defs", definitions);
    StringWriter text = new StringWriter();
    try (JsonGenerator json = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
      write(json, document);
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return text.toString();
  }

  private static void write(JsonGenerator json, Object value) throws IOException {
    if (value instanceof Map<?, ?> map) {
      json.writeStartObject();
      for (Map.Entry<?, ?> e : map.entrySet()) {
        json.writeFieldName(e.getKey().toString());
        write(json, e.getValue());
      }
      json.writeEndObject();
    } else if (value instanceof List<?> list) {
      json.writeStartArray();
      for (Object item : list) {
        write(json, item);
      }
      json.writeEndArray();
    } else if (value instanceof BigInteger i) {
      json.writeNumber(i);
    } else if (value instanceof BigDecimal d) {
      json.writeNumber(d);
    } else if (value instanceof Boolean b) {
      json.writeBoolean(b);
    } else if (value instanceof String s) {
      json.writeString(s);
    } else {
      json.writeNull();
    }
  }

  private Map<String, Object> toSchema(Expr expr) {
    Map<String, Object> out = new LinkedHashMap<>();
    if (expr instanceof Expr.Struct struct) {
      struct(struct, out);
    } else if (expr instanceof Expr.ListExpr list) {
      out.put("type", "array");
      if (!list.items().isEmpty()) {
        out.put("prefixItems", list.items().stream().map(this::toSchema).toList());
        out.put("minItems", BigInteger.valueOf(list.items().size()));
      }
      out.put("items", list.rest() == null ? (Object) false : toSchema(list.rest()));
    } else if (expr instanceof Expr.Literal literal) {
      out.put("const", literal.value() == Expr.NullValue.NULL ? null : literal.value());
    } else if (expr instanceof Expr.Reference ref) {
      reference(ref, out);
    } else if (expr instanceof Expr.Bound bound) {
      bound(bound, out);
    } else if (expr instanceof Expr.Conjunction conjunction) {
      conjunction(conjunction, out);
    } else if (expr instanceof Expr.Disjunction disjunction) {
      disjunction(disjunction, out);
    } else if (expr instanceof Expr.Bottom) {
      out.put("not", Map.of());
    }
    return out;
  }

  private static void reference(Expr.Reference ref, Map<String, Object> out) {
    String name = ref.names().get(0);
    switch (name) {
      case "int", "uint" -> out.put("type", "integer");
      case "float", "number" -> out.put("type", "number");
      case "bool" -> out.put("type", "boolean");
      case "string", "null" -> out.put("type", name);
      default -> out.put("$ref", "#/$defs/" + name.replaceFirst("^#", ""));
    }
    if (name.equals("uint")) {
      out.put("minimum", BigInteger.ZERO);
    }
  }

  private static void bound(Expr.Bound bound, Map<String, Object> out) {
    switch (bound.op()) {
      case "<" -> out.put("exclusiveMaximum", bound.operand());
      case "<=" -> out.put("maximum", bound.operand());
      case ">" -> out.put("exclusiveMinimum", bound.operand());
      case ">=" -> out.put("minimum", bound.operand());
      case "=~" -> out.put("pattern", bound.operand());
      case "!~" -> out.put("not", Map.of("pattern", bound.operand()));
      default -> out.put("not", Map.of("const", bound.operand()));
    }
  }

  private void conjunction(Expr.Conjunction conjunction, Map<String, Object> out) {
    List<Map<String, Object>> parts = conjunction.parts().stream().map(this::toSchema).toList();
    boolean disjoint =
        parts.stream().mapToInt(Map::size).sum()
            == parts.stream().flatMap(p -> p.keySet().stream()).distinct().count();
    if (disjoint) {
      parts.forEach(out::putAll);
    } else {
      out.put("allOf", parts);
    }
  }

  private void disjunction(Expr.Disjunction disjunction, Map<String, Object> out) {
    List<Map<String, Object>> alternatives = new ArrayList<>();
    for (Expr.Disjunct disjunct : disjunction.disjuncts()) {
      Map<String, Object> alternative = toSchema(disjunct.value());
      // A default beside its type adds no constraint.
      if (!disjunct.isDefault()
          || disjunction.disjuncts().size() > 2
          || !alternative.containsKey("const")) {
        alternatives.add(alternative);
      }
      if (disjunct.isDefault() && alternative.containsKey("const")) {
        out.put("default", alternative.get("const"));
      }
    }
    if (alternatives.size() == 1) {
      out.putAll(alternatives.get(0));
    } else if (alternatives.stream()
        .allMatch(schema -> schema.size() == 1 && schema.containsKey("const"))) {
      out.put("enum", alternatives.stream().map(schema -> schema.get("const")).toList());
    } else {
      out.put("anyOf", alternatives);
    }
  }

  /** Whether a field of this type is settled where a file does not name it. */
  private boolean settles(Expr expr, int depth) {
    if (expr instanceof Expr.Disjunction disjunction) {
      return disjunction.disjuncts().stream().anyMatch(Expr.Disjunct::isDefault);
    } else if (expr instanceof Expr.Struct struct) {
      return struct.fields().stream()
          .allMatch(
              field ->
                  field.presence() == Expr.Presence.OPTIONAL
                      || (field.presence() == Expr.Presence.REGULAR
                          && settles(field.value(), depth)));
    } else if (expr instanceof Expr.Reference ref && depth < schema.fields().size()) {
      return schema.fields().stream()
          .anyMatch(
              field ->
                  ref.names().get(0).equals(field.name()) && settles(field.value(), depth + 1));
    }
    return expr instanceof Expr.Literal || expr instanceof Expr.ListExpr;
  }

  private void struct(Expr.Struct struct, Map<String, Object> out) {
    Map<String, Object> properties = new LinkedHashMap<>();
    List<String> required = new ArrayList<>();
    Object others = struct.open();
    for (Expr.Field field : struct.fields()) {
      if (field.name() == null) {
        others = toSchema(field.value());
      } else {
        properties.put(field.name(), toSchema(field.value()));
        if (field.presence() == Expr.Presence.REQUIRED
            || (field.presence() == Expr.Presence.REGULAR && !settles(field.value(), 0))) {
          required.add(field.name());
        }
      }
    }
    out.put("type", "object");
    if (!properties.isEmpty()) {
      out.put("properties", properties);
    }
    if (!required.isEmpty()) {
      out.put("required", required);
    }
    out.put("additionalProperties", others);
  }
}
