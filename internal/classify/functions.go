package classify

// stableFunctions lists built-in functions that neither write nor depend on the server that runs them. The list is
// made from the functions that PostgreSQL documents as immutable or stable; what is missing counts as a write.
var stableFunctions = nameSet(`
	abs acos acosd acosh asin asind asinh atan atan2 atan2d atand atanh cbrt ceil ceiling cos cosd cosh cot cotd
	degrees div erf erfc exp factorial floor gcd lcm ln log log10 min_scale mod pi power radians round scale sign sin
	sind sinh sqrt tan tand tanh trim_scale trunc width_bucket

	ascii bit_length btrim char_length character_length chr concat concat_ws convert convert_from convert_to decode
	encode format initcap left length like_escape lower lpad ltrim md5 normalize octet_length overlay parse_ident
	position quote_ident quote_literal quote_nullable regexp_count regexp_instr regexp_like regexp_match
	regexp_matches regexp_replace regexp_split_to_array regexp_split_to_table regexp_substr repeat replace reverse
	right rpad rtrim similar_to_escape split_part starts_with string_to_array string_to_table strpos substr substring
	to_ascii to_hex to_bin to_oct translate trim unistr upper sha224 sha256 sha384 sha512 get_bit get_byte set_bit
	set_byte bit_count

	age date_bin date_part date_trunc extract isfinite justify_days justify_hours justify_interval make_date
	make_interval make_time make_timestamp make_timestamptz now overlaps statement_timestamp timezone to_char to_date
	to_number to_timestamp transaction_timestamp date timestamp timestamptz time interval

	array_agg avg bit_and bit_or bit_xor bool_and bool_or count every max min string_agg sum json_agg jsonb_agg
	json_object_agg jsonb_object_agg xmlagg range_agg range_intersect_agg corr covar_pop covar_samp regr_avgx
	regr_avgy regr_count regr_intercept regr_r2 regr_slope regr_sxx regr_sxy regr_syy stddev stddev_pop stddev_samp
	variance var_pop var_samp mode percentile_cont percentile_disc any_value

	row_number rank dense_rank percent_rank cume_dist ntile lag lead first_value last_value nth_value

	array_append array_cat array_dims array_fill array_length array_lower array_ndims array_position array_positions
	array_prepend array_remove array_replace array_to_string array_upper cardinality trim_array unnest
	generate_series generate_subscripts

	array_to_json json_array_elements json_array_elements_text json_array_length json_build_array json_build_object
	json_each json_each_text json_extract_path json_extract_path_text json_object json_object_keys json_populate_record
	json_populate_recordset json_strip_nulls json_to_record json_to_recordset json_typeof jsonb_array_elements
	jsonb_array_elements_text jsonb_array_length jsonb_build_array jsonb_build_object jsonb_each jsonb_each_text
	jsonb_extract_path jsonb_extract_path_text jsonb_insert jsonb_object jsonb_object_keys jsonb_path_exists
	jsonb_path_match jsonb_path_query jsonb_path_query_array jsonb_path_query_first jsonb_populate_record
	jsonb_populate_recordset jsonb_pretty jsonb_set jsonb_set_lax jsonb_strip_nulls jsonb_to_record
	jsonb_to_recordset jsonb_typeof row_to_json to_json to_jsonb

	isempty lower_inc lower_inf upper_inc upper_inf range_merge multirange int4range int8range numrange tsrange
	tstzrange daterange int4multirange int8multirange nummultirange tsmultirange tstzmultirange datemultirange

	to_tsvector to_tsquery plainto_tsquery phraseto_tsquery websearch_to_tsquery ts_rank ts_rank_cd ts_headline
	setweight strip numnode querytree array_to_tsvector tsvector_to_array ts_delete ts_filter ts_rewrite

	abbrev broadcast family host hostmask inet_merge inet_same_family masklen netmask network set_masklen

	area box center circle diagonal diameter height isclosed isopen line lseg npoints path point polygon radius slope
	width

	coalesce greatest least nullif num_nulls num_nonnulls current_schema current_schemas format_type pg_typeof
	col_description obj_description pg_get_constraintdef pg_get_expr pg_get_indexdef pg_get_viewdef pg_table_is_visible
	pg_type_is_visible pg_function_is_visible pg_encoding_to_char pg_get_userbyid has_table_privilege
	has_schema_privilege has_column_privilege version pg_column_size grouping uuid_extract_version
	uuid_extract_timestamp int4 int8 float8 text varchar bool numeric`)
