package loomreel.settings.cue;

import java.lang.reflect.AnnotatedElement;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loomreel.config.AddressParser;
import loomreel.settings.Micros;
import loomreel.settings.Size;

/**
 * Binds settled values to Java records, by the {@link Key} of each record component and enum
 * constant. A field that is absent, and has no default in the schema, is null, 0, false or empty.
 */
public final class Binder {
  private final List<Problem> problems = new ArrayList<>();

  private Binder() {}

  /**
   * Binds a file.
   *
   * @throws CueException with every value that the schema admits and its Java type does not
   */
  public static <T> T bind(Tree tree, Class<T> type) throws CueException {
    Binder binder = new Binder();
    Object bound = binder.bind(tree, type, "");
    if (!binder.problems.isEmpty()) {
      throw new CueException(binder.problems);
    }
    return type.cast(bound);
  }

  private Object bind(Tree tree, Type type, String path) {
    if (type instanceof ParameterizedType parameterized) {
      Type[] arguments = parameterized.getActualTypeArguments();
      return parameterized.getRawType() == Map.class
          ? map(tree, arguments[1], path)
          : list(tree, arguments[0], path);
    }
    Class<?> target = (Class<?>) type;
    if (tree == null || tree.value() == null) {
      return absent(target);
    }
    Object value = tree.value();
    try {
      if (target.isRecord() && value instanceof Map<?, ?> fields) {
        return record(fields, target, path);
      } else if (target == String.class || target == boolean.class) {
        return value;
      } else if (target == int.class) {
        return ((BigInteger) value).intValueExact();
      } else if (target == long.class) {
        return ((BigInteger) value).longValueExact();
      } else if (target == double.class) {
        return value instanceof BigInteger i ? i.doubleValue() : ((BigDecimal) value).doubleValue();
      } else if (target == Micros.class) {
        return Micros.of((String) value);
      } else if (target == Size.class) {
        return Size.of((String) value);
      } else if (target == InetSocketAddress.class) {
        return AddressParser.parse((String) value);
      } else if (target.isEnum()) {
        return constant(target, (String) value);
      }
    } catch (ArithmeticException e) {
      problems.add(Problem.conflict(tree.at(), path, value + " is out of range"));
      return absent(target);
    } catch (IllegalArgumentException e) {
      problems.add(Problem.conflict(tree.at(), path, e.getMessage()));
      return absent(target);
    }
    throw new IllegalStateException(
        "the schema gives " + path + " as " + value.getClass() + ", the program wants " + target);
  }

  private static Object constant(Class<?> enumType, String key) {
    for (Object constant : enumType.getEnumConstants()) {
      if (keyOf((Enum<?>) constant).equals(key)) {
        return constant;
      }
    }
    throw new IllegalArgumentException("unknown " + key);
  }

  private static String keyOf(Enum<?> constant) {
    try {
      return keyOf(constant.getDeclaringClass().getField(constant.name()), constant);
    } catch (NoSuchFieldException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * The key of a record component or the field of an enum constant.
   *
   * @param member its name, for the message if it has no key
   */
  private static String keyOf(AnnotatedElement element, Object member) {
    Key key = element.getAnnotation(Key.class);
    if (key == null) {
      throw new IllegalStateException("no @Key on " + member);
    }
    return key.value();
  }

  /** The value of a field that is absent, for a Java type. */
  private static Object absent(Class<?> target) {
    if (target == boolean.class) {
      return false;
    } else if (target == int.class) {
      return 0;
    } else if (target == long.class) {
      return 0L;
    } else if (target == double.class) {
      return 0.0;
    }
    return null;
  }

  private Map<String, Object> map(Tree tree, Type valueType, String path) {
    Map<String, Object> all = new LinkedHashMap<>();
    if (tree != null) {
      ((Map<?, ?>) tree.value())
          .forEach(
              (k, v) -> all.put((String) k, bind((Tree) v, valueType, inner(path, (String) k))));
    }
    return all;
  }

  private List<Object> list(Tree tree, Type valueType, String path) {
    List<Object> all = new ArrayList<>();
    if (tree != null) {
      for (Object item : (List<?>) tree.value()) {
        all.add(bind((Tree) item, valueType, path + "[" + all.size() + "]"));
      }
    }
    return all;
  }

  private Object record(Map<?, ?> fields, Class<?> type, String path) {
    RecordComponent[] components = type.getRecordComponents();
    Object[] values = new Object[components.length];
    Class<?>[] types = new Class<?>[components.length];
    int before = problems.size();
    for (int i = 0; i < components.length; i++) {
      String key = keyOf(components[i], components[i]);
      types[i] = components[i].getType();
      values[i] = bind((Tree) fields.get(key), components[i].getGenericType(), inner(path, key));
    }
    if (problems.size() > before) {
      return null;
    }
    try {
      return type.getDeclaredConstructor(types).newInstance(values);
    } catch (InvocationTargetException e) {
      throw new IllegalArgumentException(e.getCause().getMessage(), e);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String inner(String path, String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  /** The place of a field, or of the innermost enclosing field that the file has. */
  public static Position place(Tree tree, String path) {
    Tree here = tree;
    for (String name : path.split("\\.", -1)) {
      Object next = here.value() instanceof Map<?, ?> map ? map.get(name) : null;
      if (next == null) {
        break;
      }
      here = (Tree) next;
    }
    return here.at();
  }
}
